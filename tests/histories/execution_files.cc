#include "histories/execution_files.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace wagtailwind::histories {

std::vector<Execution> ReadExecutions(const std::filesystem::path& file) {
  std::vector<Execution> executions;
  std::ifstream stream(file);
  for (std::string text; std::getline(stream, text);) {
    const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
    if (!line.is_object()) {
      // The last line may be incomplete while a stand-in writes it.
      continue;
    }
    Execution execution;
    execution.generation = line.contains("engine");
    execution.endpoint = line.at(execution.generation ? "engine" : "service").get<std::string>();
    execution.key = line.value("key", "");
    execution.body_hash = line.value("body_hash", "");
    execution.path = line.value("path", "");
    execution.repeatable = execution.generation || line.value("repeatable", false);
    execution.start_ms =
        line.value(execution.generation ? "received_ms" : "start_ms", std::int64_t{0});
    executions.push_back(std::move(execution));
  }
  return executions;
}

}  // namespace wagtailwind::histories
