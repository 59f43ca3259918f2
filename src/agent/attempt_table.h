#ifndef WAGTAILWIND_AGENT_ATTEMPT_TABLE_H_
#define WAGTAILWIND_AGENT_ATTEMPT_TABLE_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "agent/agent_call.h"

namespace wagtailwind::agent {

/// \brief A bounded table of recent attempts and their decisions. It prevents a duplicated message
/// from running a call twice. Safe to use from several threads.
class AttemptTable {
 public:
  explicit AttemptTable(std::size_t capacity) : m_capacity(capacity) {}

  /// \brief Registers an attempt; returns true if it is new. The callback is called by Decide(), or
  /// immediately if the attempt has been decided.
  [[nodiscard]] bool Register(const AttemptId& id, const AdmissionCallback& callback);

  /// \brief Sets the decision and passes it to all callbacks of the attempt.
  void Decide(const AttemptId& id, const Admission& admission);

  [[nodiscard]] std::size_t Size() const;

 private:
  /// Holds weak pointers, so that the table does not prolong the retention of an answer.
  struct Decision {
    bool admitted = false;
    std::weak_ptr<StoredAnswer> answer;
    std::weak_ptr<Execution> execution;
    Refusal refusal;

    [[nodiscard]] Admission ToAdmission() const;
  };
  struct Entry {
    std::optional<Decision> decision;
    std::vector<AdmissionCallback> callbacks;
  };

  void EvictOldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const std::size_t m_capacity;
  mutable absl::Mutex m_mutex;
  std::unordered_map<AttemptId, Entry, AttemptIdHash> m_entries ABSL_GUARDED_BY(m_mutex);
  std::deque<AttemptId> m_order ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_ATTEMPT_TABLE_H_
