#ifndef WAGTAILWIND_RECORDS_CHANGE_H_
#define WAGTAILWIND_RECORDS_CHANGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/random_source.h"
#include "platform/key_value_service.h"
#include "records/document.h"
#include "records/validation.h"

namespace wagtailwind::records {

/// \brief What to do with one record.
struct RecordEdit {
  RecordKey key;
  bool remove = false;
  /// Schema version and body of a put.
  std::uint32_t schema = 1;
  std::string body;
  /// The change is made only if the record has this version; 0: only if it does not exist.
  std::optional<ConfigurationVersion> if_version;
};

/// \brief A change of one or several records, made as a whole or not at all.
struct Change {
  /// Unique; tells after a lost answer whether the change was made.
  std::string id;
  std::vector<RecordEdit> edits;
  /// Engines that are known to run.
  std::vector<KnownReplica> replicas;
  /// Check only.
  bool dry_run = false;
};

/// \brief What became of a change.
enum class ChangeOutcome : std::uint8_t {
  /// The change is made, and will be in force.
  kAccepted,
  /// The change is not made and will not be.
  kNotAccepted,
  /// The change may or may not be made.
  kUnknown,
};

/// \brief `accepted`, `not_accepted` or `unknown`.
[[nodiscard]] std::string_view ToText(ChangeOutcome outcome) noexcept;

/// \brief Result of a change.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotAccepted;
  /// Configuration version of an accepted change, or that a dry run would have made.
  ConfigurationVersion version = 0;
  /// Stable name of why the change is not accepted or unknown, such as `missing_model`.
  std::string reason;
  std::string message;
};

/// \brief Reason of a change that the platform did not answer.
inline constexpr std::string_view kPlatformUnavailableReason = "platform_unavailable";
/// \brief Reason of a change that met other changes at each attempt.
inline constexpr std::string_view kTooManyConflictsReason = "too_many_conflicts";

/// \brief Waits between attempts.
using Pause = std::function<void(std::chrono::milliseconds)>;

/// \brief Reads the document, applies and validates the change, and writes the document back by
/// compare-and-swap. Repeats when others changed other records meanwhile, and settles lost answers.
[[nodiscard]] ChangeResult ChangeRecords(const Change& change, platform::KeyValueService& service,
                                         RandomSource& random, const Pause& pause);

/// \brief The document that a change leads to. Throws a ChangeError.
[[nodiscard]] Document ApplyChange(const Document& document, const Change& change);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CHANGE_H_
