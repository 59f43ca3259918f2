#ifndef WAGTAILWIND_RECORDS_RECORD_KINDS_H_
#define WAGTAILWIND_RECORDS_RECORD_KINDS_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "records/configuration_view.h"
#include "records/document.h"

namespace wagtailwind::records {

/// \brief A kind of record and its newest schema version that this build supports. All schema
/// versions from 1 to `newest_schema` are supported.
struct RecordKind {
  std::string_view name;
  std::uint32_t newest_schema;
};

/// \brief Returns all kinds that this build supports.
[[nodiscard]] std::span<const RecordKind> RecordKinds() noexcept;

/// \brief Returns the kind, or null.
[[nodiscard]] const RecordKind* FindRecordKind(std::string_view name) noexcept;

/// \brief Whether this build supports the record's kind and schema version.
[[nodiscard]] bool IsUnderstood(const Record& record) noexcept;

/// \brief Parses a record and adds it to the configuration. Throws UnknownKind, UnknownSchema,
/// InvalidName or MalformedRecord.
void AddRecord(Configuration& configuration, const Record& record);

/// \brief Parses the records of a document. Logs and skips records that are malformed or not
/// supported, so that a single one does not block the whole version.
[[nodiscard]] std::shared_ptr<const Configuration> ParseConfiguration(const Document& document);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_RECORD_KINDS_H_
