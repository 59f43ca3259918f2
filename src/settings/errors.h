#ifndef WAGTAILWIND_SETTINGS_ERRORS_H_
#define WAGTAILWIND_SETTINGS_ERRORS_H_

#include <string>
#include <string_view>
#include <utility>

#include "core/error.h"

namespace wagtailwind::settings {

/// \brief Base of all errors in a settings file. The message names the file, the line and the key.
class SettingsError : public Error {
 public:
  /// \brief Location of an error. The line counts from 1; 0 if unknown.
  struct Location {
    std::string file;
    int line = 0;
    std::string key;
  };

  SettingsError(Location location, std::string_view message)
      : Error(location.file + ":" + std::to_string(location.line) + ": " + location.key + ": " +
              std::string(message)),
        m_location(std::move(location)) {}

  [[nodiscard]] const Location& location() const noexcept { return m_location; }

 private:
  Location m_location;
};

namespace detail {

/// \brief A settings error whose name is `Tag::kName`.
template <typename Tag>
class NamedSettingsError final : public SettingsError {
 public:
  using SettingsError::SettingsError;
  [[nodiscard]] const char* name() const noexcept override { return Tag::kName; }
};

struct UnreadableFileTag {
  static constexpr const char* kName = "settings_unreadable_file";
};
struct SyntaxTag {
  static constexpr const char* kName = "settings_syntax";
};
struct UnknownKeyTag {
  static constexpr const char* kName = "settings_unknown_key";
};
struct MissingKeyTag {
  static constexpr const char* kName = "settings_missing_key";
};
struct WrongTypeTag {
  static constexpr const char* kName = "settings_wrong_type";
};
struct WrongUnitTag {
  static constexpr const char* kName = "settings_wrong_unit";
};
struct OutOfRangeTag {
  static constexpr const char* kName = "settings_out_of_range";
};
struct InvalidAddressTag {
  static constexpr const char* kName = "settings_invalid_address";
};
struct ConflictTag {
  static constexpr const char* kName = "settings_conflict";
};

}  // namespace detail

/// \brief The file can't be read.
using UnreadableFile = detail::NamedSettingsError<detail::UnreadableFileTag>;
/// \brief The file is not YAML.
using SyntaxError = detail::NamedSettingsError<detail::SyntaxTag>;
/// \brief A key is unknown to this version or duplicated.
using UnknownKey = detail::NamedSettingsError<detail::UnknownKeyTag>;
/// \brief A required key is missing.
using MissingKey = detail::NamedSettingsError<detail::MissingKeyTag>;
/// \brief A value has the wrong type.
using WrongType = detail::NamedSettingsError<detail::WrongTypeTag>;
/// \brief A duration or size has no unit or an unknown one.
using WrongUnit = detail::NamedSettingsError<detail::WrongUnitTag>;
/// \brief A value is outside its range.
using OutOfRange = detail::NamedSettingsError<detail::OutOfRangeTag>;
/// \brief An address does not have the form `ip:port`.
using InvalidAddress = detail::NamedSettingsError<detail::InvalidAddressTag>;
/// \brief Two settings contradict each other, or a key does not apply to the role or endpoint kind.
using Conflict = detail::NamedSettingsError<detail::ConflictTag>;

}  // namespace wagtailwind::settings

#endif  // WAGTAILWIND_SETTINGS_ERRORS_H_
