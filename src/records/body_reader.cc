#include "records/body_reader.h"

#include <algorithm>
#include <ctime>
#include <limits>
#include <set>
#include <utility>

namespace wagtailwind::records::detail {

namespace {

using Json = nlohmann::json;

}  // namespace

BodyReader::BodyReader(std::string_view record_name, std::string_view body,
                       std::initializer_list<std::string_view> fields)
    : m_place(record_name), m_body(Json::parse(body, nullptr, false)) {
  CheckFields(fields);
}

void BodyReader::CheckFields(std::initializer_list<std::string_view> fields) const {
  if (!m_body.is_object()) {
    Fail("body", "is not an object");
  }
  for (const auto& [field, value] : m_body.items()) {
    if (std::ranges::find(fields, std::string_view(field)) == fields.end()) {
      Fail(field, "is not a field of this schema version");
    }
  }
}

void BodyReader::Fail(std::string_view field, std::string_view problem) const {
  throw MalformedRecord(m_place + ": " + std::string(field) + " " + std::string(problem));
}

const Json& BodyReader::Field(const char* field) const {
  if (!Has(field)) {
    Fail(field, "is missing");
  }
  return m_body.at(field);
}

std::string BodyReader::Text(const char* field) const {
  const Json& value = Field(field);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    Fail(field, "is not a non-empty text");
  }
  return value.get<std::string>();
}

std::string BodyReader::OptionalText(const char* field) const {
  return Has(field) ? Text(field) : std::string();
}

double BodyReader::Number(const char* field, double minimum, double maximum) const {
  const Json& value = Field(field);
  if (!value.is_number() || value.get<double>() < minimum || value.get<double>() > maximum) {
    Fail(field,
         "is not a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
  }
  return value.get<double>();
}

std::int64_t BodyReader::Integer(const char* field, std::int64_t minimum,
                                 std::int64_t maximum) const {
  const Json& value = Field(field);
  const bool fits = value.is_number_integer() &&
                    (!value.is_number_unsigned() ||
                     value.get<std::uint64_t>() <=
                         static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
  if (!fits || value.get<std::int64_t>() < minimum || value.get<std::int64_t>() > maximum) {
    Fail(field,
         "is not an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
  }
  return value.get<std::int64_t>();
}

std::vector<std::string> BodyReader::Texts(const char* field) const {
  std::vector<std::string> texts;
  if (!Has(field)) {
    return texts;
  }
  if (!Field(field).is_array()) {
    Fail(field, "is not a list");
  }
  for (const Json& entry : Field(field)) {
    if (!entry.is_string() || entry.get_ref<const std::string&>().empty()) {
      Fail(field, "has an entry that is not a non-empty text");
    }
    texts.push_back(entry.get<std::string>());
  }
  if (std::set<std::string>(texts.begin(), texts.end()).size() != texts.size()) {
    Fail(field, "has the same entry twice");
  }
  return texts;
}

std::vector<BodyReader> BodyReader::Objects(const char* field,
                                            std::initializer_list<std::string_view> fields) const {
  std::vector<BodyReader> objects;
  if (!Has(field)) {
    return objects;
  }
  if (!Field(field).is_array()) {
    Fail(field, "is not a list");
  }
  for (const Json& entry : Field(field)) {
    BodyReader object;
    object.m_place = m_place + ": " + field;
    object.m_body = entry;
    object.CheckFields(fields);
    objects.push_back(std::move(object));
  }
  return objects;
}

WallTime BodyReader::Time(const char* field) const {
  const std::string text = Text(field);
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  if (end == nullptr || *end != '\0') {
    Fail(field, "is not a time such as 2026-11-30T08:00:00Z");
  }
  return std::chrono::system_clock::from_time_t(timegm(&parts));
}

}  // namespace wagtailwind::records::detail
