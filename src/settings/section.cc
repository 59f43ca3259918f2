#include "settings/section.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "settings/settings.h"

namespace wagtailwind::settings::detail {

namespace {

double MillisecondsPerUnit(std::string_view unit) {
  if (unit == "ms") {
    return 1;
  }
  if (unit == "s") {
    return 1'000;
  }
  if (unit == "min") {
    return 60'000;
  }
  if (unit == "h") {
    return 3'600'000;
  }
  return 0;
}

double BytesPerUnit(std::string_view unit) {
  if (unit == "B") {
    return 1;
  }
  if (unit == "KiB") {
    return 1024;
  }
  if (unit == "MiB") {
    return 1024.0 * 1024.0;
  }
  return 0;
}

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

Section::Section(const YAML::Node& node, std::string file, std::string path)
    : m_node(std::make_unique<YAML::Node>(node)), m_file(std::move(file)), m_path(std::move(path)) {
  if (m_node->IsDefined() && !m_node->IsMap()) {
    throw WrongType({m_file, m_node->Mark().line + 1, m_path}, "a mapping is expected");
  }
  // yaml-cpp accepts duplicate keys and would silently ignore the second one.
  std::set<std::string> keys;
  for (const auto& entry : *m_node) {
    if (!keys.insert(entry.first.Scalar()).second) {
      throw UnknownKey({m_file, entry.first.Mark().line + 1, m_path + "." + entry.first.Scalar()},
                       "the key is duplicated");
    }
  }
}

Section::~Section() = default;

Section::Section(Section&&) noexcept = default;

bool Section::Has(std::string_view key) const {
  return m_node->IsDefined() && (*m_node)[std::string(key)].IsDefined();
}

std::vector<std::string> Section::Keys() const {
  std::vector<std::string> keys;
  if (m_node->IsDefined()) {
    for (const auto& entry : *m_node) {
      keys.push_back(entry.first.as<std::string>());
    }
  }
  return keys;
}

SettingsError::Location Section::LocationOf(std::string_view key) const {
  int line = m_node->IsDefined() ? m_node->Mark().line + 1 : 0;
  if (Has(key)) {
    line = (*m_node)[std::string(key)].Mark().line + 1;
  }
  return {m_file, line, m_path.empty() ? std::string(key) : m_path + "." + std::string(key)};
}

Section Section::Subsection(std::string_view key) {
  m_read_keys.emplace(key);
  const SettingsError::Location location = LocationOf(key);
  const YAML::Node node = Has(key) ? (*m_node)[std::string(key)] : YAML::Node(YAML::NodeType::Map);
  return Section(node, m_file, location.key);
}

std::optional<std::string> Section::Scalar(std::string_view key) {
  m_read_keys.emplace(key);
  if (!Has(key)) {
    return std::nullopt;
  }
  const YAML::Node node = (*m_node)[std::string(key)];
  if (!node.IsScalar()) {
    throw WrongType(LocationOf(key), "a single value is expected");
  }
  return node.Scalar();
}

std::string Section::RequiredText(std::string_view key) {
  std::optional<std::string> text = Scalar(key);
  if (!text) {
    throw MissingKey(LocationOf(key), "the key is required");
  }
  if (text->empty()) {
    throw OutOfRange(LocationOf(key), "the value must not be empty");
  }
  return std::move(*text);
}

std::string Section::RequiredAddress(std::string_view key) {
  std::string text = RequiredText(key);
  if (!IsSocketAddress(text)) {
    throw InvalidAddress(LocationOf(key), "an address of the form ip:port is expected");
  }
  return text;
}

std::vector<std::string> Section::TextList(std::string_view key) {
  m_read_keys.emplace(key);
  std::vector<std::string> texts;
  if (!Has(key)) {
    return texts;
  }
  const YAML::Node node = (*m_node)[std::string(key)];
  if (!node.IsSequence()) {
    throw WrongType(LocationOf(key), "a list is expected");
  }
  for (const YAML::Node& item : node) {
    if (!item.IsScalar() || item.Scalar().empty()) {
      throw WrongType(LocationOf(key), "a list of non-empty strings is expected");
    }
    texts.push_back(item.Scalar());
  }
  return texts;
}

bool Section::Flag(std::string_view key, bool fallback) {
  const std::optional<std::string> text = Scalar(key);
  if (!text) {
    return fallback;
  }
  if (*text != "true" && *text != "false") {
    throw WrongType(LocationOf(key), "true or false is expected");
  }
  return *text == "true";
}

double Section::Number(std::string_view key, double fallback, double minimum, double maximum) {
  const std::optional<std::string> text = Scalar(key);
  if (!text) {
    return fallback;
  }
  const std::optional<double> value = ParseNumber(*text);
  if (!value) {
    throw WrongType(LocationOf(key), "a number is expected");
  }
  if (*value < minimum || *value > maximum) {
    throw OutOfRange(LocationOf(key), "the value must be from " + std::to_string(minimum) + " to " +
                                          std::to_string(maximum));
  }
  return *value;
}

std::uint64_t Section::Integer(std::string_view key, std::uint64_t fallback, std::uint64_t minimum,
                               std::uint64_t maximum) {
  const double value = Number(key, static_cast<double>(fallback), static_cast<double>(minimum),
                              static_cast<double>(maximum));
  if (value != std::floor(value)) {
    throw WrongType(LocationOf(key), "a whole number is expected");
  }
  return static_cast<std::uint64_t>(value);
}

std::optional<double> Section::ScaledNumber(std::string_view key, std::string_view expected_units,
                                            double (*factor)(std::string_view)) {
  const std::optional<std::string> text = Scalar(key);
  if (!text) {
    return std::nullopt;
  }
  const std::size_t unit_start = text->find_first_not_of("0123456789.");
  const std::string_view number = std::string_view(*text).substr(0, unit_start);
  const std::optional<double> value = ParseNumber(number);
  if (!value) {
    throw WrongType(LocationOf(key), "a number with a unit is expected");
  }
  const double scale =
      unit_start == std::string::npos ? 0 : factor(std::string_view(*text).substr(unit_start));
  if (scale == 0) {
    throw WrongUnit(LocationOf(key), "a unit is expected: " + std::string(expected_units));
  }
  constexpr double kMaxScaledValue = 1e15;
  if (*value * scale > kMaxScaledValue) {
    throw OutOfRange(LocationOf(key), "the value is too large");
  }
  return *value * scale;
}

std::chrono::milliseconds Section::Duration(std::string_view key,
                                            std::chrono::milliseconds fallback) {
  const std::optional<double> value = ScaledNumber(key, "ms, s, min or h", MillisecondsPerUnit);
  return value ? std::chrono::milliseconds(static_cast<std::int64_t>(*value)) : fallback;
}

std::uint64_t Section::Bytes(std::string_view key, std::uint64_t fallback) {
  const std::optional<double> value = ScaledNumber(key, "B, KiB or MiB", BytesPerUnit);
  return value ? static_cast<std::uint64_t>(*value) : fallback;
}

std::string Section::Choice(std::string_view key, std::string_view fallback,
                            const std::vector<std::string>& choices) {
  std::string text = Scalar(key).value_or(std::string(fallback));
  if (text.empty()) {
    throw MissingKey(LocationOf(key), "the key is required");
  }
  if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
    std::string message = "one of these is expected:";
    for (const std::string& choice : choices) {
      message += " " + choice;
    }
    throw OutOfRange(LocationOf(key), message);
  }
  return text;
}

void Section::RejectUnknownKeys() const {
  for (const auto& entry : *m_node) {
    const std::string& key = entry.first.Scalar();
    if (!m_read_keys.contains(key)) {
      throw UnknownKey({m_file, entry.first.Mark().line + 1, LocationOf(key).key}, "unknown key");
    }
  }
}

}  // namespace wagtailwind::settings::detail
