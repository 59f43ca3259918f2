#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/commands.h"
#include "cli/errors.h"

namespace wagtailwind::cli {

namespace {

using Json = nlohmann::ordered_json;
using records::Document;
using records::Record;

constexpr int kJsonIndent = 2;
constexpr int kColumnWidth = 18;

Json ToJson(const Record& record) {
  Json body = Json::parse(record.body, nullptr, false);
  return {{"kind", record.kind},
          {"name", record.name},
          {"schema", record.schema},
          {"version", record.version},
          {"change", record.change_id},
          {"body", body.is_discarded() ? Json(record.body) : std::move(body)}};
}

ExitCode PrintChange(const CommandLine& line, const ToolEnvironment& environment,
                     const Document& document) {
  const records::ConfigurationVersion version = document.VersionOfChange(line.change);
  if (line.json) {
    environment.out
        << Json{{"change", line.change}, {"found", version != 0}, {"version", version}}.dump()
        << "\n";
  } else if (version == 0) {
    environment.out << "change " << line.change << " is not among the last "
                    << document.recent_changes.size() << " changes\n";
  } else {
    environment.out << "change " << line.change << " was accepted as version " << version << "\n";
  }
  return version == 0 ? ExitCode::kNotFound : ExitCode::kOk;
}

}  // namespace

ExitCode RunStatus(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 0);
  const Document document = ReadDocument(line, environment);
  if (!line.change.empty()) {
    return PrintChange(line, environment, document);
  }
  std::map<std::string, std::size_t> counts;
  for (const Record& record : document.records) {
    ++counts[record.kind];
  }
  const std::size_t bytes = ToText(document).size();
  if (line.json) {
    environment.out << Json{{"version", document.version}, {"bytes", bytes}, {"records", counts}}
                           .dump(kJsonIndent)
                    << "\n";
    return ExitCode::kOk;
  }
  environment.out << "version " << document.version << ", " << bytes << " bytes of "
                  << records::kMaxDocumentBytes << "\n";
  for (const auto& [kind, count] : counts) {
    environment.out << std::left << std::setw(kColumnWidth) << kind << count << "\n";
  }
  return ExitCode::kOk;
}

ExitCode RunGet(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 2);
  const Document document = ReadDocument(line, environment);
  const Record* record = document.Find({line.arguments[0], line.arguments[1]});
  if (record == nullptr) {
    environment.err << "wagtailwind: record_not_found: " << line.arguments[0] << " "
                    << line.arguments[1] << "\n";
    return ExitCode::kNotFound;
  }
  if (line.json) {
    environment.out << ToJson(*record).dump(kJsonIndent) << "\n";
  } else {
    environment.out << record->kind << " " << record->name << ", schema " << record->schema
                    << ", version " << record->version << "\n"
                    << record->body << "\n";
  }
  return ExitCode::kOk;
}

ExitCode RunList(const CommandLine& line, const ToolEnvironment& environment) {
  if (line.arguments.size() > 1) {
    throw UsageError("list takes at most one kind");
  }
  Json list = Json::array();
  for (const Record& record : ReadDocument(line, environment).records) {
    if (!line.arguments.empty() && record.kind != line.arguments.front()) {
      continue;
    }
    if (line.json) {
      list.push_back(ToJson(record));
    } else {
      environment.out << std::left << std::setw(kColumnWidth) << record.kind << " "
                      << std::setw(kColumnWidth) << record.name << " schema " << record.schema
                      << " version " << record.version << "\n";
    }
  }
  if (line.json) {
    environment.out << list.dump(kJsonIndent) << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace wagtailwind::cli
