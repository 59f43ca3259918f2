#ifndef WAGTAILWIND_RECORDS_ERRORS_H_
#define WAGTAILWIND_RECORDS_ERRORS_H_

#include "core/error.h"

namespace wagtailwind::records {

/// \brief Base of the errors for which a change is not accepted.
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

/// \brief A configuration document or delta is malformed, or has a format that this version can't
/// read.
using MalformedDocument = detail::NamedChangeError<detail::MalformedDocumentTag>;
/// \brief The document would exceed the key-value service's limit for the size of a value.
using DocumentTooLarge = detail::NamedChangeError<detail::DocumentTooLargeTag>;
/// \brief This version does not support the kind of record.
using UnknownKind = detail::NamedChangeError<detail::UnknownKindTag>;
/// \brief This version does not support the schema version, so it can't validate or change the
/// record.
using UnknownSchema = detail::NamedChangeError<detail::UnknownSchemaTag>;
/// \brief A record's name is empty or too long, or has characters other than letters, digits, `-`,
/// `_` and `.`.
using InvalidName = detail::NamedChangeError<detail::InvalidNameTag>;
/// \brief A field is missing, unknown, of the wrong type or out of range.
using MalformedRecord = detail::NamedChangeError<detail::MalformedRecordTag>;
/// \brief A change contains the same record more than once.
using DuplicateRecord = detail::NamedChangeError<detail::DuplicateRecordTag>;
/// \brief The record to delete does not exist.
using RecordNotFound = detail::NamedChangeError<detail::RecordNotFoundTag>;
/// \brief The record does not have the version that the change expects.
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
