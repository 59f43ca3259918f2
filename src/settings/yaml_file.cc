#include "settings/yaml_file.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <sstream>

namespace wagtailwind::settings::detail {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw UnreadableFile({path, 0, "(file)"}, "the file can't be read");
  }
  return text.str();
}

Section ParseYaml(std::string_view text, std::string_view file) {
  const std::string file_name(file);
  try {
    return Section(YAML::Load(std::string(text)), file_name, "");
  } catch (const YAML::Exception& error) {
    throw SyntaxError({file_name, error.mark.line + 1, "(document)"}, error.msg);
  }
}

LogLevel ReadLogLevel(Section section) {
  const std::string level = section.Choice("level", "info", {"debug", "info", "warn", "error"});
  section.RejectUnknownKeys();
  if (level == "debug") {
    return LogLevel::kDebug;
  }
  if (level == "warn") {
    return LogLevel::kWarn;
  }
  return level == "error" ? LogLevel::kError : LogLevel::kInfo;
}

}  // namespace wagtailwind::settings::detail
