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

/// \brief Reads the fields of a record's body; every error is a MalformedRecord with the record's
/// and the field's name. Included by the record kinds' sources only.
class BodyReader {
 public:
  /// \brief Parses a body that may have these fields and no others.
  BodyReader(std::string_view record_name, std::string_view body,
             std::initializer_list<std::string_view> fields);

  [[nodiscard]] bool Has(const char* field) const { return m_body.contains(field); }
  [[nodiscard]] std::string Text(const char* field) const;
  /// \brief A text that is a valid record name; empty if the field is absent.
  [[nodiscard]] std::string OptionalText(const char* field) const;
  [[nodiscard]] double Number(const char* field, double minimum, double maximum) const;
  [[nodiscard]] std::int64_t Integer(const char* field, std::int64_t minimum,
                                     std::int64_t maximum) const;
  /// \brief Distinct, non-empty texts; an absent field is an empty list.
  [[nodiscard]] std::vector<std::string> Texts(const char* field) const;
  /// \brief Objects with these fields; an absent field is an empty list.
  [[nodiscard]] std::vector<BodyReader> Objects(
      const char* field, std::initializer_list<std::string_view> fields) const;
  /// \brief A time such as `2026-11-30T08:00:00Z`.
  [[nodiscard]] WallTime Time(const char* field) const;

  [[noreturn]] void Fail(std::string_view field, std::string_view problem) const;

 private:
  BodyReader() = default;

  void CheckFields(std::initializer_list<std::string_view> fields) const;
  [[nodiscard]] const nlohmann::json& Field(const char* field) const;

  std::string m_place;
  nlohmann::json m_body;
};

}  // namespace wagtailwind::records::detail

#endif  // WAGTAILWIND_RECORDS_BODY_READER_H_
