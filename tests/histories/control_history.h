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

/// \brief Records of a run of the control histories. All times are in milliseconds of one clock.
namespace wagtailwind::histories {

inline constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

struct Interval {
  std::int64_t begin = 0;
  std::int64_t end = kNever;
};

/// \brief One response of a process to `GET /state`.
struct VersionSample {
  std::int64_t asked = 0;
  std::int64_t answered = 0;
  std::uint64_t incarnation = 0;
  records::ConfigurationVersion version = 0;
  /// Whether the process has a configuration and may serve.
  bool ready = false;
};

/// \brief One run of a process, from its start to its end.
struct ProcessRun {
  std::string process;
  std::int64_t started = 0;
  std::int64_t ended = kNever;
  /// Intervals during which the process was paused.
  std::vector<Interval> paused;
  /// In order of time. Each sample is answered before the next one is requested.
  std::vector<VersionSample> samples;
};

/// \brief A change requested by an operator and the outcome that the tool reported.
struct ChangeReport {
  enum class Action : std::uint8_t { kPut, kEdit, kDelete };

  std::string actor;
  records::RecordKey key;
  Action action = Action::kPut;
  /// Body of a put, or fields of an edit. The values are JSON.
  std::map<std::string, std::string> fields;
  records::ChangeOutcome outcome = records::ChangeOutcome::kUnknown;
  records::ConfigurationVersion version = 0;
  /// Empty if the tool was killed or ended before it made a change.
  std::string change_id;
  /// The tool was killed. No other change uses the same record.
  bool killed = false;
  std::int64_t begun = 0;
  std::int64_t reported = 0;
};

/// \brief An interval during which an endpoint must accept no new work.
struct AdmissionClosure {
  std::string endpoint;
  /// Time at which the drain was accepted or the instance list changed to `leaving`.
  std::int64_t requested = 0;
  /// Time at which the agent was observed to apply it; kNever if it was not.
  std::int64_t observed = kNever;
  /// Time just before the drain was cancelled; kNever if it was not.
  std::int64_t reopened = kNever;
};

/// \brief A request that an endpoint ran.
struct ExecutedRequest {
  std::string endpoint;
  std::int64_t sent = 0;
  std::int64_t answered = 0;
};

/// \brief A load order as an engine received it.
struct EngineOrder {
  std::int64_t at = 0;
  std::string version;
  std::uint64_t fencing_token = 0;
  bool taken = false;
};

/// \brief The load orders that one engine received, and its final state.
struct EngineHistory {
  bool checks_fencing = false;
  std::vector<EngineOrder> orders;
  /// Highest fencing token issued, as stored at the key-value service.
  std::uint64_t fence = 0;
  /// Model version in the records and version loaded by the engine, both at the end of the run.
  std::string target;
  std::string loaded;
};

/// \brief Result of a check.
struct Findings {
  std::vector<std::string> violations;
  /// Longest time until a change took effect. Comparing it with a bound is meaningful only on an
  /// otherwise idle machine; see RunOptions::order_only.
  std::int64_t longest_ms = 0;
  std::vector<std::string> late;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_HISTORY_H_
