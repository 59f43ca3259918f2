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

/// \brief One mapping of a settings file. Remembers which keys were read, so that Finish() can
/// refuse the others.
class Section {
 public:
  Section(const YAML::Node& node, std::string file, std::string path);
  ~Section();
  Section(Section&&) noexcept;
  Section(const Section&) = delete;
  Section& operator=(const Section&) = delete;
  Section& operator=(Section&&) = delete;

  [[nodiscard]] bool Has(std::string_view key) const;

  /// \brief A nested mapping; an empty one if the key is absent.
  [[nodiscard]] Section Child(std::string_view key);

  [[nodiscard]] std::string RequiredText(std::string_view key);
  [[nodiscard]] std::string RequiredAddress(std::string_view key);
  [[nodiscard]] std::vector<std::string> TextList(std::string_view key);
  [[nodiscard]] bool Flag(std::string_view key, bool fallback);
  [[nodiscard]] double Number(std::string_view key, double fallback, double minimum,
                              double maximum);
  [[nodiscard]] std::uint64_t Count(
      std::string_view key, std::uint64_t fallback, std::uint64_t minimum,
      std::uint64_t maximum = std::numeric_limits<std::uint32_t>::max());
  [[nodiscard]] std::chrono::milliseconds Duration(std::string_view key,
                                                   std::chrono::milliseconds fallback);
  [[nodiscard]] std::uint64_t Bytes(std::string_view key, std::uint64_t fallback);

  /// \brief One of the given words.
  [[nodiscard]] std::string Choice(std::string_view key, std::string_view fallback,
                                   const std::vector<std::string>& choices);

  /// \brief Throws UnknownKey if a key was not read.
  void Finish() const;

  /// \brief Place of a key, for errors.
  [[nodiscard]] SettingsError::Place PlaceOf(std::string_view key) const;

 private:
  [[nodiscard]] std::optional<std::string> Scalar(std::string_view key);
  [[nodiscard]] std::optional<double> ScaledNumber(std::string_view key,
                                                   std::string_view expected_units,
                                                   double (*factor)(std::string_view));

  std::unique_ptr<YAML::Node> m_node;
  std::string m_file;
  std::string m_path;
  std::set<std::string, std::less<>> m_read;
};

}  // namespace wagtailwind::settings::detail

#endif  // WAGTAILWIND_SETTINGS_SECTION_H_
