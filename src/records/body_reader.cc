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
    : m_context(record_name), m_body(Json::parse(body, nullptr, false)) {
  RejectUnknownFields(fields);
}

void BodyReader::RejectUnknownFields(std::initializer_list<std::string_view> fields) const {
  if (!m_body.is_object()) {
    ThrowMalformed("body", "is not an object");
  }
  for (const auto& [field, value] : m_body.items()) {
    if (std::ranges::find(fields, std::string_view(field)) == fields.end()) {
      ThrowMalformed(field, "is not a field of this schema version");
    }
  }
}

void BodyReader::ThrowMalformed(std::string_view field, std::string_view problem) const {
  throw MalformedRecord(m_context + ": " + std::string(field) + " " + std::string(problem));
}

const Json& BodyReader::RequiredField(const char* field) const {
  if (!Has(field)) {
    ThrowMalformed(field, "is missing");
  }
  return m_body.at(field);
}

std::string BodyReader::Text(const char* field) const {
  const Json& value = RequiredField(field);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    ThrowMalformed(field, "is not a non-empty string");
  }
  return value.get<std::string>();
}

std::string BodyReader::OptionalText(const char* field) const {
  return Has(field) ? Text(field) : std::string();
}

double BodyReader::Number(const char* field, double minimum, double maximum) const {
  const Json& value = RequiredField(field);
  if (!value.is_number() || value.get<double>() < minimum || value.get<double>() > maximum) {
    ThrowMalformed(field, "is not a number from " + std::to_string(minimum) + " to " +
                              std::to_string(maximum));
  }
  return value.get<double>();
}

std::int64_t BodyReader::Integer(const char* field, std::int64_t minimum,
                                 std::int64_t maximum) const {
  const Json& value = RequiredField(field);
  const bool is_int64 = value.is_number_integer() &&
                        (!value.is_number_unsigned() ||
                         value.get<std::uint64_t>() <=
                             static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
  if (!is_int64 || value.get<std::int64_t>() < minimum || value.get<std::int64_t>() > maximum) {
    ThrowMalformed(field, "is not an integer from " + std::to_string(minimum) + " to " +
                              std::to_string(maximum));
  }
  return value.get<std::int64_t>();
}

std::vector<std::string> BodyReader::Texts(const char* field) const {
  std::vector<std::string> texts;
  if (!Has(field)) {
    return texts;
  }
  if (!RequiredField(field).is_array()) {
    ThrowMalformed(field, "is not a list");
  }
  for (const Json& entry : RequiredField(field)) {
    if (!entry.is_string() || entry.get_ref<const std::string&>().empty()) {
      ThrowMalformed(field, "has an entry that is not a non-empty string");
    }
    texts.push_back(entry.get<std::string>());
  }
  if (std::set<std::string>(texts.begin(), texts.end()).size() != texts.size()) {
    ThrowMalformed(field, "has a duplicate entry");
  }
  return texts;
}

std::vector<BodyReader> BodyReader::Objects(const char* field,
                                            std::initializer_list<std::string_view> fields) const {
  std::vector<BodyReader> objects;
  if (!Has(field)) {
    return objects;
  }
  if (!RequiredField(field).is_array()) {
    ThrowMalformed(field, "is not a list");
  }
  for (const Json& entry : RequiredField(field)) {
    BodyReader object;
    object.m_context = m_context + ": " + field;
    object.m_body = entry;
    object.RejectUnknownFields(fields);
    objects.push_back(std::move(object));
  }
  return objects;
}

WallTime BodyReader::Time(const char* field) const {
  const std::string text = Text(field);
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  if (end == nullptr || *end != '\0') {
    ThrowMalformed(field, "is not a UTC time such as 2026-11-30T08:00:00Z");
  }
  return std::chrono::system_clock::from_time_t(timegm(&parts));
}

}  // namespace wagtailwind::records::detail
