#include "stand_ins/prefix_cache.h"

namespace wagtailwind::stand_ins {

namespace {

constexpr std::size_t kMaxEvents = 10'000;

}  // namespace

std::uint32_t PrefixCache::Find(const std::vector<Prefix>& prefixes) {
  for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
    const auto found = m_by_hash.find(prefix->hash);
    if (found != m_by_hash.end()) {
      m_recent.splice(m_recent.begin(), m_recent, found->second);
      return prefix->tokens;
    }
  }
  return 0;
}

void PrefixCache::Insert(const Prefix& prefix) {
  if (prefix.tokens > m_tokens_limit || m_by_hash.contains(prefix.hash)) {
    return;
  }
  m_recent.push_front(prefix);
  m_by_hash[prefix.hash] = m_recent.begin();
  m_tokens_used += prefix.tokens;
  Record("stored", prefix);
  while (m_tokens_used > m_tokens_limit) {
    const Prefix evicted = m_recent.back();
    m_recent.pop_back();
    m_by_hash.erase(evicted.hash);
    m_tokens_used -= evicted.tokens;
    Record("evicted", evicted);
  }
}

void PrefixCache::Clear() {
  m_recent.clear();
  m_by_hash.clear();
  m_events.clear();
  m_tokens_used = 0;
}

void PrefixCache::Record(const std::string& type, const Prefix& prefix) {
  m_events.push_back({m_next_sequence++, type, prefix, std::chrono::steady_clock::now()});
  if (m_events.size() > kMaxEvents) {
    m_events.pop_front();
  }
}

}  // namespace wagtailwind::stand_ins
