#include "core/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "core/log_level_name.h"

namespace wagtailwind {

namespace {

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LoggerPtr ProjectLogger() { return log4cxx::Logger::getLogger("wagtailwind"); }

std::string& ProcessName() {
  static std::string name;
  return name;
}

}  // namespace

void InitialiseLogging(LogLevel minimum, std::string_view process_name) {
  ProcessName() = std::string(process_name);
  // Date and time are two conversions, because log4cxx copies the quotes around a literal letter
  // such as 'T' to the output.
  const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("{\"time\":\"%d{yyyy-MM-dd}{UTC}T%d{HH:mm:ss.SSS}{UTC}Z\",%m%n"));
  const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(ToLog4cxx(minimum));
}

void Log(const LogEvent& event, std::initializer_list<LogField> fields) {
  const log4cxx::LoggerPtr logger = ProjectLogger();
  const log4cxx::LevelPtr level = ToLog4cxx(event.level);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  nlohmann::ordered_json line;
  line["level"] = detail::LevelName(event.level);
  line["event"] = event.number;
  line["name"] = event.name;
  line["process"] = ProcessName();
  for (const LogField& field : fields) {
    line[std::string(field.key)] = field.value;
  }
  // Field values may contain bytes from other processes that are not valid UTF-8; the error handler
  // replaces them. The layout has already written the opening brace and the time.
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  LOG4CXX_LOG(logger, level, text.substr(1));
}

}  // namespace wagtailwind
