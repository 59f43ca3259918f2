#ifndef WAGTAILWIND_AGENT_PREFIX_ESTIMATES_H_
#define WAGTAILWIND_AGENT_PREFIX_ESTIMATES_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "core/ids.h"

namespace wagtailwind::agent {

/// \brief Estimates how many prompt tokens of a returning chat are in the engine's prefix cache:
/// those of the chat's last request here. Bounded in number, least recently used first. Safe to
/// use from several threads.
class PrefixEstimates {
 public:
  explicit PrefixEstimates(std::size_t capacity) : m_capacity(capacity) {}

  /// \brief A request of the chat was served with a prompt of this length.
  void Set(const OrganisationName& organisation, const ChatId& chat, std::uint32_t tokens);

  /// \brief The estimate; 0 if the chat was not served here lately.
  [[nodiscard]] std::uint32_t Find(const OrganisationName& organisation, const ChatId& chat) const;

  /// \brief Forgets everything, because the engine has restarted.
  void Clear();

 private:
  struct Estimate {
    std::uint64_t chat_hash = 0;
    std::uint32_t tokens = 0;
  };

  const std::size_t m_capacity;
  mutable absl::Mutex m_mutex;
  std::list<Estimate> m_recent ABSL_GUARDED_BY(m_mutex);
  std::unordered_map<std::uint64_t, std::list<Estimate>::iterator> m_by_chat
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_PREFIX_ESTIMATES_H_
