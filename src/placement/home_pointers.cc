#include "placement/home_pointers.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <chrono>
#include <list>

#include "placement/chat_key.h"

namespace wagtailwind::placement {

namespace {

// An engine has usually evicted a prefix that was not used for this long, so a redirect to it would
// only cost a network hop.
constexpr std::chrono::hours kMaxPointerAge{4};

class PointerTable final : public HomePointers {
 public:
  PointerTable(std::size_t capacity, const Clock& clock)
      : m_capacity(std::max<std::size_t>(capacity, 1)), m_clock(clock) {}

  void Set(const OrganisationName& organisation, const ChatId& chat,
           const EndpointName& endpoint) override {
    const ChatKey key = MakeChatKey(organisation, chat);
    const SteadyTime now = m_clock.Now();
    const absl::MutexLock lock(&m_mutex);
    Erase(key);
    EvictExpired(now);
    m_by_age.push_back({key, endpoint, now});
    m_pointers.emplace(key, std::prev(m_by_age.end()));
  }

  void Clear(const OrganisationName& organisation, const ChatId& chat) override {
    const ChatKey key = MakeChatKey(organisation, chat);
    const absl::MutexLock lock(&m_mutex);
    Erase(key);
  }

  [[nodiscard]] std::optional<EndpointName> Find(const OrganisationName& organisation,
                                                 const ChatId& chat) const override {
    const ChatKey key = MakeChatKey(organisation, chat);
    const SteadyTime now = m_clock.Now();
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_pointers.find(key);
    if (found == m_pointers.end() || now - found->second->set_at > kMaxPointerAge) {
      return std::nullopt;
    }
    return found->second->endpoint;
  }

  [[nodiscard]] std::size_t Size() const override {
    const absl::MutexLock lock(&m_mutex);
    return m_pointers.size();
  }

 private:
  struct Pointer {
    ChatKey key;
    EndpointName endpoint;
    SteadyTime set_at;
  };

  void Erase(const ChatKey& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    const auto found = m_pointers.find(key);
    if (found != m_pointers.end()) {
      m_by_age.erase(found->second);
      m_pointers.erase(found);
    }
  }

  // Evicts expired pointers, and the oldest ones until there is space for another.
  void EvictExpired(SteadyTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    while (!m_by_age.empty() &&
           (m_by_age.size() >= m_capacity || now - m_by_age.front().set_at > kMaxPointerAge)) {
      m_pointers.erase(m_by_age.front().key);
      m_by_age.pop_front();
    }
  }

  const std::size_t m_capacity;
  const Clock& m_clock;
  mutable absl::Mutex m_mutex;
  /// Oldest first.
  std::list<Pointer> m_by_age ABSL_GUARDED_BY(m_mutex);
  absl::flat_hash_map<ChatKey, std::list<Pointer>::iterator> m_pointers ABSL_GUARDED_BY(m_mutex);
};

}  // namespace

std::unique_ptr<HomePointers> MakeHomePointers(std::size_t capacity, const Clock& clock) {
  return std::make_unique<PointerTable>(capacity, clock);
}

}  // namespace wagtailwind::placement
