#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_HISTORY_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_HISTORY_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "records/change.h"
#include "records/document.h"

/// \brief What a run of the control histories records. Times are milliseconds of one clock.
namespace wagtailwind::histories {

inline constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

struct Interval {
  std::int64_t begin = 0;
  std::int64_t end = kNever;
};

/// \brief One answer of a process's `/state`.
struct VersionSample {
  std::int64_t asked = 0;
  std::int64_t answered = 0;
  std::uint64_t incarnation = 0;
  records::ConfigurationVersion version = 0;
  /// Whether the process may serve.
  bool ready = false;
};

/// \brief One life of a process, from its start to its end.
struct ProcessRun {
  std::string process;
  std::int64_t started = 0;
  std::int64_t ended = kNever;
  /// Times in which the process was paused.
  std::vector<Interval> paused;
  /// In the order in which they were asked for; one is answered before the next is asked for.
  std::vector<VersionSample> samples;
};

/// \brief What an operator asked for and was told.
struct ChangeReport {
  enum class Action : std::uint8_t { kPut, kEdit, kDelete };

  std::string actor;
  records::RecordKey key;
  Action action = Action::kPut;
  /// Body of a put, or the fields of an edit, with JSON values.
  std::map<std::string, std::string> fields;
  records::ChangeOutcome outcome = records::ChangeOutcome::kUnknown;
  records::ConfigurationVersion version = 0;
  /// Empty if the tool was killed or ended before it made a change.
  std::string change_id;
  /// The tool was killed; then no other change touches the record.
  bool killed = false;
  std::int64_t begun = 0;
  std::int64_t reported = 0;
};

/// \brief A time in which an endpoint takes no new work.
struct ClosedGate {
  std::string endpoint;
  /// The drain was accepted, or the instance list says `leaving`.
  std::int64_t ordered = 0;
  /// The agent was seen with it; kNever if it was not.
  std::int64_t seen = kNever;
  /// Before the drain was taken back.
  std::int64_t reopening = kNever;
};

/// \brief A request that an endpoint has run.
struct ExecutedRequest {
  std::string endpoint;
  std::int64_t sent = 0;
  std::int64_t answered = 0;
};

/// \brief An order as an engine received it.
struct EngineOrder {
  std::int64_t at = 0;
  std::string version;
  std::uint64_t fencing_token = 0;
  bool taken = false;
};

/// \brief What one engine went through.
struct EngineHistory {
  bool checks_fencing = false;
  std::vector<EngineOrder> orders;
  /// The fence at the key-value service.
  std::uint64_t fence = 0;
  /// What the records say in the end, and what the engine has loaded.
  std::string target;
  std::string loaded;
};

/// \brief Result of a check.
struct Findings {
  std::vector<std::string> violations;
  /// Longest time to the effect; compared with a bound only on a quiet machine.
  std::int64_t longest_ms = 0;
  std::vector<std::string> late;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_HISTORY_H_
