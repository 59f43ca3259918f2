#ifndef WAGTAILWIND_AGENT_RESULT_TABLE_H_
#define WAGTAILWIND_AGENT_RESULT_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "agent/stored_answer.h"

namespace wagtailwind::agent {

/// \brief Size and retention limits of a result table.
struct ResultLimits {
  std::size_t max_total_bytes = std::size_t{8} << 20U;
  std::size_t max_results = 50'000;
  std::chrono::milliseconds retention{600'000};
};

/// \brief Maps organisation and request key to an answer, so that a repeated key gets the same
/// answer. Safe to use from several threads.
class ResultTable {
 public:
  enum class State {
    /// There was no usable answer; the caller's answer was inserted.
    kInserted,
    /// The same call is running or has a result.
    kReplay,
    /// The key was used for another call, or for a call whose outcome is unknown.
    kConflict,
  };
  struct Lookup {
    State state = State::kInserted;
    std::shared_ptr<StoredAnswer> answer;
  };

  ResultTable(ResultLimits limits, const Clock& clock) : m_limits(limits), m_clock(clock) {}

  /// \brief Finds the answer of a key, or inserts `answer` for it. `call_hash` identifies the call.
  /// With `may_run_again`, a failed answer is replaced.
  [[nodiscard]] Lookup FindOrInsert(const OrganisationName& organisation, const std::string& key,
                                    std::uint64_t call_hash, bool may_run_again,
                                    const std::shared_ptr<StoredAnswer>& answer);

  /// \brief Removes results whose retention has expired, and the earliest ended ones while a limit
  /// is exceeded.
  void RemoveExpired();

  [[nodiscard]] std::size_t Count() const;

 private:
  struct Result {
    std::uint64_t call_hash = 0;
    std::shared_ptr<StoredAnswer> answer;
  };

  const ResultLimits m_limits;
  const Clock& m_clock;
  mutable absl::Mutex m_mutex;
  /// By organisation and request key.
  std::map<std::string, Result> m_results ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_RESULT_TABLE_H_
