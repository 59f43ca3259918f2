#ifndef WAGTAILWIND_SETTINGS_YAML_FILE_H_
#define WAGTAILWIND_SETTINGS_YAML_FILE_H_

#include <string>
#include <string_view>

#include "core/log.h"
#include "settings/section.h"

namespace wagtailwind::settings::detail {

/// \brief The text of a file. Throws UnreadableFile.
[[nodiscard]] std::string ReadText(const std::string& path);

/// \brief The root of a YAML document; `file` is the name in errors. Throws SyntaxError.
[[nodiscard]] Section ParseYaml(std::string_view text, std::string_view file);

/// \brief Reads the section `log`. Throws a SettingsError.
[[nodiscard]] LogLevel ReadLogLevel(Section section);

}  // namespace wagtailwind::settings::detail

#endif  // WAGTAILWIND_SETTINGS_YAML_FILE_H_
