#ifndef WAGTAILWIND_CORE_JSON_FIELDS_H_
#define WAGTAILWIND_CORE_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace wagtailwind::json_fields {

/// \brief Largest depth of nested arrays and objects. Each level of a document takes many times the
/// memory of the byte that opens it.
inline constexpr int kMaxDepth = 32;

/// \brief Parses JSON; throws Exception if `text` is not valid JSON or is nested more than
/// kMaxDepth levels deep.
template <typename Exception>
nlohmann::json ParseJson(std::string_view text) {
  const auto check_depth = [](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
    if (depth > kMaxDepth) {
      throw Exception("the text is nested too deeply");
    }
    return true;
  };
  nlohmann::json document = nlohmann::json::parse(text, check_depth, false);
  if (document.is_discarded()) {
    throw Exception("the text is not valid JSON");
  }
  return document;
}

/// \brief Returns a required field; throws Exception if it is missing.
template <typename Exception>
const nlohmann::json& RequiredField(const nlohmann::json& object, const char* name) {
  const auto found = object.is_object() ? object.find(name) : object.end();
  if (found == object.end()) {
    throw Exception(std::string(name) + " is missing");
  }
  return *found;
}

/// \brief Returns a required string; throws Exception if it is missing or of another type.
template <typename Exception>
std::string StringField(const nlohmann::json& object, const char* name) {
  const nlohmann::json& value = RequiredField<Exception>(object, name);
  if (!value.is_string()) {
    throw Exception(std::string(name) + " is not a string");
  }
  return value.get<std::string>();
}

/// \brief Returns a required unsigned integer; throws Exception if it is missing or of another
/// type.
template <typename Exception>
std::uint64_t UnsignedField(const nlohmann::json& object, const char* name) {
  const nlohmann::json& value = RequiredField<Exception>(object, name);
  if (!value.is_number_unsigned()) {
    throw Exception(std::string(name) + " is not an unsigned integer");
  }
  return value.get<std::uint64_t>();
}

/// \brief Returns a required unsigned integer; throws Exception if it is missing, of another type,
/// or not within the bounds.
template <typename Exception>
std::uint64_t BoundedField(const nlohmann::json& object, const char* name, std::uint64_t minimum,
                           std::uint64_t maximum) {
  const std::uint64_t value = UnsignedField<Exception>(object, name);
  if (value < minimum || value > maximum) {
    throw Exception(std::string(name) + " is not between " + std::to_string(minimum) + " and " +
                    std::to_string(maximum));
  }
  return value;
}

/// \brief Returns a required array; throws Exception if it is missing or of another type.
template <typename Exception>
const nlohmann::json& ArrayField(const nlohmann::json& object, const char* name) {
  const nlohmann::json& value = RequiredField<Exception>(object, name);
  if (!value.is_array()) {
    throw Exception(std::string(name) + " is not an array");
  }
  return value;
}

/// \brief Returns an optional unsigned integer, or `fallback` if it is missing; throws Exception if
/// it is of another type.
template <typename Exception>
std::uint64_t OptionalUnsigned(const nlohmann::json& object, const char* name,
                               std::uint64_t fallback) {
  return object.contains(name) ? UnsignedField<Exception>(object, name) : fallback;
}

/// \brief Returns an optional number from 0 to `maximum`, or 0 if it is missing; throws Exception
/// if it is of another type or out of range.
template <typename Exception>
double OptionalNumber(const nlohmann::json& object, const char* name, double maximum) {
  if (!object.contains(name)) {
    return 0;
  }
  if (!object[name].is_number()) {
    throw Exception(std::string(name) + " is not a number");
  }
  const auto value = object[name].get<double>();
  if (!(value >= 0 && value <= maximum)) {
    throw Exception(std::string(name) + " is not between 0 and " + std::to_string(maximum));
  }
  return value;
}

/// \brief Returns an optional boolean, or false if it is missing; throws Exception if it is of
/// another type.
template <typename Exception>
bool OptionalBool(const nlohmann::json& object, const char* name) {
  if (!object.contains(name)) {
    return false;
  }
  if (!object[name].is_boolean()) {
    throw Exception(std::string(name) + " is not a boolean");
  }
  return object[name].get<bool>();
}

}  // namespace wagtailwind::json_fields

#endif  // WAGTAILWIND_CORE_JSON_FIELDS_H_
