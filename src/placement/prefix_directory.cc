#include "placement/prefix_directory.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <iterator>
#include <list>

#include "placement/chat_key.h"

namespace wagtailwind::placement {

namespace {

class LruDirectory final : public PrefixDirectory {
 public:
  LruDirectory(std::size_t max_chats, std::uint64_t max_tokens)
      : m_max_chats(max_chats), m_max_tokens(max_tokens) {}

  void Store(const OrganisationName& organisation, const ChatId& chat,
             std::uint32_t tokens) override {
    const ChatKey key = MakeChatKey(organisation, chat);
    const absl::MutexLock lock(&m_mutex);
    EraseKey(key);
    m_by_use.push_back({key, tokens});
    m_entries.emplace(key, std::prev(m_by_use.end()));
    m_tokens += tokens;
    while (!m_by_use.empty() && (m_by_use.size() > m_max_chats || m_tokens > m_max_tokens)) {
      // EraseKey() removes the list entry, so it gets a copy of the key.
      EraseKey(ChatKey(m_by_use.front().key));
    }
  }

  void Erase(const OrganisationName& organisation, const ChatId& chat) override {
    const ChatKey key = MakeChatKey(organisation, chat);
    const absl::MutexLock lock(&m_mutex);
    EraseKey(key);
  }

  void Reset() override {
    const absl::MutexLock lock(&m_mutex);
    m_entries.clear();
    m_by_use.clear();
    m_tokens = 0;
  }

  [[nodiscard]] std::uint32_t Find(const OrganisationName& organisation,
                                   const ChatId& chat) const override {
    const ChatKey key = MakeChatKey(organisation, chat);
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? 0 : found->second->tokens;
  }

  [[nodiscard]] std::size_t Size() const override {
    const absl::MutexLock lock(&m_mutex);
    return m_entries.size();
  }

 private:
  struct Entry {
    ChatKey key;
    std::uint32_t tokens;
  };

  void EraseKey(const ChatKey& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
      m_tokens -= found->second->tokens;
      m_by_use.erase(found->second);
      m_entries.erase(found);
    }
  }

  const std::size_t m_max_chats;
  const std::uint64_t m_max_tokens;
  mutable absl::Mutex m_mutex;
  /// Least recently used first.
  std::list<Entry> m_by_use ABSL_GUARDED_BY(m_mutex);
  absl::flat_hash_map<ChatKey, std::list<Entry>::iterator> m_entries ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_tokens ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace

std::unique_ptr<PrefixDirectory> MakePrefixDirectory(std::size_t max_chats,
                                                     std::uint64_t max_tokens) {
  return std::make_unique<LruDirectory>(max_chats, max_tokens);
}

}  // namespace wagtailwind::placement
