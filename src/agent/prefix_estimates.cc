#include "agent/prefix_estimates.h"

#include "core/hash.h"

namespace wagtailwind::agent {

namespace {

std::uint64_t ChatHash(const OrganisationName& organisation, const ChatId& chat) {
  return StableHash(chat.value(), StableHash(organisation.value()));
}

}  // namespace

void PrefixEstimates::Set(const OrganisationName& organisation, const ChatId& chat,
                          std::uint32_t tokens) {
  const std::uint64_t hash = ChatHash(organisation, chat);
  const absl::MutexLock lock(&m_mutex);
  if (const auto found = m_by_chat.find(hash); found != m_by_chat.end()) {
    m_recent.erase(found->second);
  }
  m_recent.push_front({hash, tokens});
  m_by_chat[hash] = m_recent.begin();
  if (m_recent.size() > m_capacity) {
    m_by_chat.erase(m_recent.back().chat_hash);
    m_recent.pop_back();
  }
}

std::uint32_t PrefixEstimates::Find(const OrganisationName& organisation,
                                    const ChatId& chat) const {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_by_chat.find(ChatHash(organisation, chat));
  return found == m_by_chat.end() ? 0 : found->second->tokens;
}

void PrefixEstimates::Clear() {
  const absl::MutexLock lock(&m_mutex);
  m_by_chat.clear();
  m_recent.clear();
}

}  // namespace wagtailwind::agent
