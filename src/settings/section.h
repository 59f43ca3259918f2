#ifndef WAGTAILWIND_SETTINGS_SECTION_H_
#define WAGTAILWIND_SETTINGS_SECTION_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "settings/errors.h"

namespace YAML {
class Node;
}

namespace wagtailwind::settings::detail {

/// \brief Reads the keys of one mapping in a settings file. Records which keys were read, so that
/// RejectUnknownKeys() can reject the others.
class Section {
 public:
  /// \brief `path` is the key of the mapping, for errors. Throws WrongType if the node is not a
  /// mapping, and UnknownKey if it has a duplicate key.
  Section(const YAML::Node& node, std::string file, std::string path);
  ~Section();
  Section(Section&&) noexcept;
  Section(const Section&) = delete;
  Section& operator=(const Section&) = delete;
  Section& operator=(Section&&) = delete;

  [[nodiscard]] bool Has(std::string_view key) const;

  /// \brief Returns the keys of the mapping, for mappings whose keys are data.
  [[nodiscard]] std::vector<std::string> Keys() const;

  /// \brief Returns a nested mapping; an empty one if the key is absent.
  [[nodiscard]] Section Subsection(std::string_view key);

  /// \brief Returns a non-empty value. Throws MissingKey if the key is absent.
  [[nodiscard]] std::string RequiredText(std::string_view key);
  /// \brief Like RequiredText(), but throws InvalidAddress if the value is not `ip:port`.
  [[nodiscard]] std::string RequiredAddress(std::string_view key);
  /// \brief Returns a list of non-empty strings; an empty one if the key is absent.
  [[nodiscard]] std::vector<std::string> TextList(std::string_view key);
  // The following return `fallback` if the key is absent.

  [[nodiscard]] bool Flag(std::string_view key, bool fallback);
  [[nodiscard]] double Number(std::string_view key, double fallback, double minimum,
                              double maximum);
  [[nodiscard]] std::uint64_t Integer(
      std::string_view key, std::uint64_t fallback, std::uint64_t minimum,
      std::uint64_t maximum = std::numeric_limits<std::uint32_t>::max());
  [[nodiscard]] std::chrono::milliseconds Duration(std::string_view key,
                                                   std::chrono::milliseconds fallback);
  [[nodiscard]] std::uint64_t Bytes(std::string_view key, std::uint64_t fallback);

  /// \brief Returns the value, which must be one of `choices`. Throws MissingKey if the key is
  /// absent and `fallback` is empty.
  [[nodiscard]] std::string Choice(std::string_view key, std::string_view fallback,
                                   const std::vector<std::string>& choices);

  /// \brief Throws UnknownKey if the mapping has a key that was not read.
  void RejectUnknownKeys() const;

  /// \brief Returns the location of a key, for errors.
  [[nodiscard]] SettingsError::Location LocationOf(std::string_view key) const;

 private:
  [[nodiscard]] std::optional<std::string> Scalar(std::string_view key);
  // Parses a number with a unit and multiplies it by `factor(unit)`, which is 0 for unknown units.
  [[nodiscard]] std::optional<double> ScaledNumber(std::string_view key,
                                                   std::string_view expected_units,
                                                   double (*factor)(std::string_view));

  std::unique_ptr<YAML::Node> m_node;
  std::string m_file;
  std::string m_path;
  std::set<std::string, std::less<>> m_read_keys;
};

}  // namespace wagtailwind::settings::detail

#endif  // WAGTAILWIND_SETTINGS_SECTION_H_
