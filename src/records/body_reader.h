#ifndef WAGTAILWIND_RECORDS_BODY_READER_H_
#define WAGTAILWIND_RECORDS_BODY_READER_H_

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "records/errors.h"

namespace wagtailwind::records::detail {

/// \brief Reads the fields of a record's JSON body. Every error is a MalformedRecord that names the
/// record and the field. Internal to the parsers of the record kinds.
class BodyReader {
 public:
  /// \brief Parses the body. Throws MalformedRecord if it has a field that is not in `fields`.
  BodyReader(std::string_view record_name, std::string_view body,
             std::initializer_list<std::string_view> fields);

  [[nodiscard]] bool Has(const char* field) const { return m_body.contains(field); }
  /// \brief A required, non-empty text.
  [[nodiscard]] std::string Text(const char* field) const;
  /// \brief Like Text(), but returns an empty string if the field is absent.
  [[nodiscard]] std::string OptionalText(const char* field) const;
  /// \brief A required number from `minimum` to `maximum`.
  [[nodiscard]] double Number(const char* field, double minimum, double maximum) const;
  /// \brief A required integer from `minimum` to `maximum`.
  [[nodiscard]] std::int64_t Integer(const char* field, std::int64_t minimum,
                                     std::int64_t maximum) const;
  /// \brief A list of distinct, non-empty texts; empty if the field is absent.
  [[nodiscard]] std::vector<std::string> Texts(const char* field) const;
  /// \brief A list of objects that may have only `fields`; empty if the field is absent.
  [[nodiscard]] std::vector<BodyReader> Objects(
      const char* field, std::initializer_list<std::string_view> fields) const;
  /// \brief A required UTC time such as `2026-11-30T08:00:00Z`.
  [[nodiscard]] WallTime Time(const char* field) const;

  /// \brief Throws MalformedRecord for a field.
  [[noreturn]] void ThrowMalformed(std::string_view field, std::string_view problem) const;

 private:
  BodyReader() = default;

  void RejectUnknownFields(std::initializer_list<std::string_view> fields) const;
  [[nodiscard]] const nlohmann::json& RequiredField(const char* field) const;

  /// Prefix of error messages: the record's name and the fields that lead to this object.
  std::string m_context;
  nlohmann::json m_body;
};

}  // namespace wagtailwind::records::detail

#endif  // WAGTAILWIND_RECORDS_BODY_READER_H_
