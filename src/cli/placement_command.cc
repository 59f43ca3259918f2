#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/commands.h"
#include "cli/errors.h"

namespace wagtailwind::cli {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kJsonIndent = 2;

std::string MakeQuery(const CommandLine& line) {
  Json query = {{"host", line.host}, {"path", line.path}};
  const std::pair<const char*, const std::string*> optional_fields[] = {{"api_key", &line.api_key},
                                                                        {"model", &line.model},
                                                                        {"tokens", &line.tokens},
                                                                        {"prompt", &line.prompt}};
  for (const auto& [name, value] : optional_fields) {
    if (!value->empty()) {
      query[name] = *value;
    }
  }
  return query.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string ValueText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.is_null() ? "unknown" : value.dump();
}

/// Prints the fields of an object that are no lists.
void PrintFields(std::ostream& out, const Json& object) {
  for (const auto& [name, value] : object.items()) {
    if (!value.is_structured() && !(value.is_string() && value.get<std::string>().empty())) {
      out << " " << name << "=" << ValueText(value);
    }
  }
  out << "\n";
}

void PrintPlain(std::ostream& out, const Json& placement) {
  out << "request";
  PrintFields(out, placement);
  for (const Json& service : placement.value("services", Json::array())) {
    out << "service";
    PrintFields(out, service);
    std::size_t rank = 0;
    for (const Json& candidate : service.value("candidates", Json::array())) {
      out << "  " << ++rank << ".";
      PrintFields(out, candidate);
    }
    for (const Json& excluded : service.value("excluded", Json::array())) {
      out << "  excluded";
      PrintFields(out, excluded);
    }
  }
}

}  // namespace

ExitCode RunPlacement(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 0);
  if (line.admin.empty() || line.host.empty() || line.path.empty()) {
    throw UsageError("placement needs --admin, --host and --path");
  }
  const AdminResponse response = environment.query_placement(line.admin, MakeQuery(line));
  const Json placement = Json::parse(response.body, nullptr, false);
  if (response.status == kBadRequest && placement.is_object()) {
    throw UsageError(placement.value("detail", std::string("the query is invalid")));
  }
  if (response.status != kOk || !placement.is_object() || !placement.contains("outcome")) {
    throw ProcessUnreachable(line.admin + " answers no placement queries: status " +
                             std::to_string(response.status));
  }
  if (line.json) {
    environment.out << placement.dump(kJsonIndent) << "\n";
  } else {
    PrintPlain(environment.out, placement);
  }
  return placement["outcome"] == "placed" ? ExitCode::kOk : ExitCode::kNotAccepted;
}

}  // namespace wagtailwind::cli
