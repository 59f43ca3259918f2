#ifndef WAGTAILWIND_RECORDS_ERRORS_H_
#define WAGTAILWIND_RECORDS_ERRORS_H_

#include "core/error.h"

namespace wagtailwind::records {

/// \brief Base of all rules that a change can break. A change that breaks one is not accepted.
class ChangeError : public Error {
 protected:
  using Error::Error;
};

namespace detail {

template <typename Tag>
using NamedChangeError = wagtailwind::detail::NamedError<Tag, ChangeError>;

struct MalformedDocumentTag {
  static constexpr const char* kName = "malformed_document";
};
struct DocumentTooLargeTag {
  static constexpr const char* kName = "document_too_large";
};
struct UnknownKindTag {
  static constexpr const char* kName = "unknown_kind";
};
struct UnknownSchemaTag {
  static constexpr const char* kName = "unknown_schema";
};
struct InvalidNameTag {
  static constexpr const char* kName = "invalid_name";
};
struct MalformedRecordTag {
  static constexpr const char* kName = "malformed_record";
};
struct DuplicateRecordTag {
  static constexpr const char* kName = "duplicate_record";
};
struct RecordNotFoundTag {
  static constexpr const char* kName = "record_not_found";
};
struct VersionConflictTag {
  static constexpr const char* kName = "version_conflict";
};
struct MissingModelTag {
  static constexpr const char* kName = "missing_model";
};
struct MissingAdapterTag {
  static constexpr const char* kName = "missing_adapter";
};
struct MissingPriorityClassTag {
  static constexpr const char* kName = "missing_priority_class";
};
struct ModelWithoutEngineTag {
  static constexpr const char* kName = "model_without_engine";
};

}  // namespace detail

/// \brief The stored configuration document can't be read by this version.
using MalformedDocument = detail::NamedChangeError<detail::MalformedDocumentTag>;
/// \brief The document would exceed the platform's limit for a value.
using DocumentTooLarge = detail::NamedChangeError<detail::DocumentTooLargeTag>;
/// \brief This version does not know the kind of record.
using UnknownKind = detail::NamedChangeError<detail::UnknownKindTag>;
/// \brief This version does not know the schema version, so it can't check or change the record.
using UnknownSchema = detail::NamedChangeError<detail::UnknownSchemaTag>;
/// \brief A record's name has other characters than letters, digits, `-`, `_`, `.`, or is too long.
using InvalidName = detail::NamedChangeError<detail::InvalidNameTag>;
/// \brief A field is missing, unknown, of the wrong type or out of range.
using MalformedRecord = detail::NamedChangeError<detail::MalformedRecordTag>;
/// \brief One change names the same record twice.
using DuplicateRecord = detail::NamedChangeError<detail::DuplicateRecordTag>;
/// \brief The record to delete does not exist.
using RecordNotFound = detail::NamedChangeError<detail::RecordNotFoundTag>;
/// \brief The record has another version than the change was made for.
using VersionConflict = detail::NamedChangeError<detail::VersionConflictTag>;
/// \brief A record refers to a model that does not exist.
using MissingModel = detail::NamedChangeError<detail::MissingModelTag>;
/// \brief A record refers to an adapter that does not exist.
using MissingAdapter = detail::NamedChangeError<detail::MissingAdapterTag>;
/// \brief A record refers to a priority class that does not exist.
using MissingPriorityClass = detail::NamedChangeError<detail::MissingPriorityClassTag>;
/// \brief Drain plans would leave a model without any known engine.
using ModelWithoutEngine = detail::NamedChangeError<detail::ModelWithoutEngineTag>;

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_ERRORS_H_
