#ifndef WAGTAILWIND_SETTINGS_YAML_FILE_H_
#define WAGTAILWIND_SETTINGS_YAML_FILE_H_

#include <string>
#include <string_view>

#include "core/log.h"
#include "settings/section.h"

namespace wagtailwind::settings::detail {

/// \brief Returns the content of a file. Throws UnreadableFile.
[[nodiscard]] std::string ReadFile(const std::string& path);

/// \brief Parses a YAML document and returns its root; `file` is the file name in errors. Throws
/// SyntaxError if it is not YAML, and WrongType if the root is not a mapping.
[[nodiscard]] Section ParseYaml(std::string_view text, std::string_view file);

/// \brief Reads the log level from the section `log`. Throws a SettingsError.
[[nodiscard]] LogLevel ReadLogLevel(Section section);

}  // namespace wagtailwind::settings::detail

#endif  // WAGTAILWIND_SETTINGS_YAML_FILE_H_
