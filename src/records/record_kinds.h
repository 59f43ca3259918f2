#ifndef WAGTAILWIND_RECORDS_RECORD_KINDS_H_
#define WAGTAILWIND_RECORDS_RECORD_KINDS_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "records/configuration_view.h"
#include "records/document.h"

namespace wagtailwind::records {

/// \brief A kind of record with the newest schema version that this version of the project reads.
/// All schema versions from 1 up to it are read.
struct RecordKind {
  std::string_view name;
  std::uint32_t newest_schema;
};

/// \brief All kinds that this version knows.
[[nodiscard]] std::span<const RecordKind> RecordKinds() noexcept;

/// \brief The kind, or null.
[[nodiscard]] const RecordKind* FindRecordKind(std::string_view name) noexcept;

/// \brief Whether this version knows the record's kind and schema version.
[[nodiscard]] bool IsUnderstood(const Record& record) noexcept;

/// \brief Parses one record into the configuration. Throws UnknownKind, UnknownSchema,
/// InvalidName or MalformedRecord.
void AddRecord(Configuration& configuration, const Record& record);

/// \brief The configuration of a document. Records that are not understood are left out and
/// logged, so that one of them does not hold back a version.
[[nodiscard]] std::shared_ptr<const Configuration> ParseConfiguration(const Document& document);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_RECORD_KINDS_H_
