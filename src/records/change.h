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

/// \brief A put or delete of one record.
struct RecordEdit {
  RecordKey key;
  /// Deletes the record; otherwise it is put.
  bool remove = false;
  /// Schema version and body of a put.
  std::uint32_t schema = 1;
  std::string body;
  /// If set, the change is made only if the record has this version; 0: only if the record does
  /// not exist.
  std::optional<ConfigurationVersion> if_version;
};

/// \brief An atomic change of one or several records.
struct Change {
  /// Unique id. The document stores it, so that a reader can tell after a lost response whether
  /// the change was made.
  std::string id;
  std::vector<RecordEdit> edits;
  /// Engines that are known to run; see Validate().
  std::vector<KnownReplica> replicas;
  /// Validates the change without writing it.
  bool dry_run = false;
};

/// \brief Outcome of a change.
enum class ChangeOutcome : std::uint8_t {
  /// The change was written and will come into force. For a dry run: the change is valid.
  kAccepted,
  /// The change was not made and can't take effect later.
  kNotAccepted,
  /// The change may or may not have been made.
  kUnknown,
};

/// \brief `accepted`, `not_accepted` or `unknown`.
[[nodiscard]] std::string_view ToText(ChangeOutcome outcome) noexcept;

/// \brief Result of a change.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kNotAccepted;
  /// Configuration version that an accepted change produced, or that a dry run would produce.
  ConfigurationVersion version = 0;
  /// Stable name of the reason for an outcome other than kAccepted, such as `missing_model`.
  std::string reason;
  /// The reason in words.
  std::string message;
};

/// \brief Reason for a change that failed because the platform was unreachable, rate-limited the
/// calls or returned a stale document.
inline constexpr std::string_view kPlatformUnavailableReason = "platform_unavailable";
/// \brief Reason for a change that lost the compare-and-swap to other changes in every attempt.
inline constexpr std::string_view kTooManyConflictsReason = "too_many_conflicts";

/// \brief Sleeps between attempts.
using Pause = std::function<void(std::chrono::milliseconds)>;

/// \brief Reads the document, applies and validates the change, and writes the document back by
/// compare-and-swap. Retries with backoff if a concurrent change touched other records. If the
/// response to a write is lost, reads the document again to find out whether the write was applied.
[[nodiscard]] ChangeResult ChangeRecords(const Change& change, platform::KeyValueService& service,
                                         RandomSource& random, const Pause& pause);

/// \brief Returns the validated document with a change applied. Throws a ChangeError.
[[nodiscard]] Document ApplyChange(const Document& document, const Change& change);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CHANGE_H_
