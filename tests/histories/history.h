#ifndef WAGTAILWIND_TESTS_HISTORIES_HISTORY_H_
#define WAGTAILWIND_TESTS_HISTORIES_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailwind::histories {

enum class CallKind : std::uint8_t { kStream, kChat, kOnceOnly, kLookup, kCrossOrganisationResume };

/// \brief Outcome of one HTTP request, as known to the caller.
enum class Answer : std::uint8_t {
  kResult,
  kNotRun,
  kUnknown,
  /// The connection failed or timed out before an outcome was received.
  kLost,
  /// The connection could not be established, so nothing was sent.
  kNotConnected,
};

/// \brief One HTTP request of a call. Attempts with the same `answer_number` belong to one answer:
/// the first one starts it, and the others resume it.
struct Attempt {
  int answer_number = 0;
  std::int64_t start_ms = 0;
  std::int64_t end_ms = 0;
  std::string router;
  Answer answer = Answer::kLost;
  int status = 0;
  /// Generated text, or the body of a service's answer.
  std::string text;
  /// The answer is complete: a stream ended with `[DONE]`, any other answer was received in full.
  bool is_complete = false;
  /// The HTTP response ended normally, but the stream has neither `[DONE]` nor an error event.
  bool silent_end = false;
};

/// \brief One call of a caller with all its attempts.
struct Call {
  std::uint64_t id = 0;
  CallKind kind = CallKind::kStream;
  std::string organisation;
  std::string key;
  std::string body_hash;
  std::string path;
  std::uint32_t tokens = 0;
  /// In flight when a planned stop began.
  bool in_planned_stop = false;
  /// The caller hung up and did not retry.
  bool given_up = false;
  std::vector<Attempt> attempts;
};

/// \brief One execution that a stand-in recorded.
struct Execution {
  std::string endpoint;
  std::string key;
  std::string body_hash;
  std::string path;
  bool generation = false;
  bool repeatable = false;
  std::int64_t start_ms = 0;
};

/// \brief A planned stop of a daemon.
struct PlannedStop {
  std::string process;
  int exit_status = 0;
};

/// \brief All records of a run.
struct History {
  std::vector<Call> calls;
  std::vector<Execution> executions;
  std::vector<PlannedStop> stops;
};

/// \brief A violated invariant.
struct Violation {
  /// `duplicate`, `false_not_run`, `incomplete`, `crossed`, `unanswered` or `cut_by_stop`.
  std::string invariant;
  std::string detail;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_HISTORY_H_
