#include <fstream>
#include <istream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>

#include "absl/time/time.h"
#include "cli/commands.h"
#include "cli/errors.h"
#include "cli/record_file.h"
#include "records/record_kinds.h"

namespace wagtailwind::cli {

namespace {

using Json = nlohmann::ordered_json;
using records::ChangeOutcome;
using records::ChangeResult;
using records::RecordEdit;

ExitCode ExitCodeOf(const ChangeResult& result) {
  switch (result.outcome) {
    case ChangeOutcome::kAccepted:
      return ExitCode::kOk;
    case ChangeOutcome::kUnknown:
      return ExitCode::kUnknown;
    default:
      return result.reason == records::kPlatformUnavailableReason ? ExitCode::kPlatformUnavailable
                                                                  : ExitCode::kNotAccepted;
  }
}

void PrintResult(const CommandLine& line, const ToolEnvironment& environment,
                 const std::string& change_id, const ChangeResult& result) {
  const std::string_view outcome = ToText(result.outcome);
  if (line.json) {
    environment.out << Json{{"outcome", outcome},      {"version", result.version},
                            {"change", change_id},     {"dry_run", line.dry_run},
                            {"reason", result.reason}, {"message", result.message}}
                           .dump()
                    << "\n";
    return;
  }
  environment.out << (line.dry_run ? "dry run: " : "") << outcome;
  if (result.outcome == ChangeOutcome::kAccepted) {
    environment.out << (line.dry_run ? ", would be version " : " as version ") << result.version;
  } else {
    environment.out << ": " << result.reason << ": " << result.message;
  }
  environment.out << "\n";
  if (result.outcome == ChangeOutcome::kUnknown) {
    environment.out << "check the outcome later: wagtailwind status --change " << change_id << "\n";
  }
}

ExitCode SubmitChange(const CommandLine& line, const ToolEnvironment& environment,
                      std::vector<RecordEdit> edits) {
  const std::string change_id = ToHex(environment.random.NewRequestId());
  const records::Change change{change_id, std::move(edits), {}, line.dry_run};
  const ChangeResult result = ChangeRecords(change, *ConnectKeyValueService(line, environment),
                                            environment.random, environment.pause);
  PrintResult(line, environment, change_id, result);
  return ExitCodeOf(result);
}

std::string ReadFile(const std::string& path, std::istream& standard_input) {
  if (path == "-") {
    return {std::istreambuf_iterator<char>(standard_input), {}};
  }
  std::ifstream file(path);
  if (!file) {
    throw RecordFileError("can't read " + path);
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<RecordEdit> ReadEdits(const CommandLine& line, const ToolEnvironment& environment) {
  if (line.arguments.empty()) {
    throw UsageError(line.command + " needs at least one file");
  }
  std::vector<RecordEdit> edits;
  for (const std::string& path : line.arguments) {
    for (RecordEdit& edit : ParseRecordFile(ReadFile(path, environment.in))) {
      edits.push_back(std::move(edit));
    }
  }
  if (line.if_version) {
    if (edits.size() != 1) {
      throw UsageError("--if-version applies to a single record; use if_version in the file");
    }
    edits.front().if_version = line.if_version;
  }
  return edits;
}

ExitCode SubmitDeletion(const CommandLine& line, const ToolEnvironment& environment,
                        const records::RecordKey& key) {
  return SubmitChange(line, environment, {{key, true, 1, "", line.if_version}});
}

std::string DrainStartTime(const CommandLine& line, const ToolEnvironment& environment) {
  return line.start.empty()
             ? absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromChrono(environment.clock.WallNow()),
                                absl::UTCTimeZone())
             : line.start;
}

}  // namespace

ExitCode RunPut(const CommandLine& line, const ToolEnvironment& environment) {
  return SubmitChange(line, environment, ReadEdits(line, environment));
}

ExitCode RunEdit(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 2);
  if (line.set.empty() && line.unset.empty()) {
    throw UsageError("edit needs --set or --unset");
  }
  const records::Document document = ReadDocument(line, environment);
  const records::Record* record = document.Find({line.arguments[0], line.arguments[1]});
  if (record == nullptr) {
    environment.err << "wagtailwind: record_not_found: " << line.arguments[0] << " "
                    << line.arguments[1] << "\n";
    return ExitCode::kNotFound;
  }
  if (!IsUnderstood(*record)) {
    environment.err << "wagtailwind: unknown_schema: the record has schema version "
                    << record->schema << "\n";
    return ExitCode::kNotAccepted;
  }
  // The edit is based on the version that was read; any other version must not be overwritten.
  const auto expected = line.if_version.value_or(record->version);
  return SubmitChange(line, environment,
                      {{{record->kind, record->name},
                        false,
                        record->schema,
                        EditBody(record->body, line.set, line.unset),
                        expected}});
}

ExitCode RunDelete(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 2);
  return SubmitDeletion(line, environment, {line.arguments[0], line.arguments[1]});
}

ExitCode RunDiff(const CommandLine& line, const ToolEnvironment& environment) {
  const records::Document document = ReadDocument(line, environment);
  Json list = Json::array();
  for (const RecordEdit& edit : ReadEdits(line, environment)) {
    const records::Record* record = document.Find(edit.key);
    const auto same_body = [&] {
      return nlohmann::json::parse(record->body, nullptr, false) ==
             nlohmann::json::parse(edit.body, nullptr, false);
    };
    if (record != nullptr && record->schema == edit.schema && same_body()) {
      continue;
    }
    const std::string before = record == nullptr ? "" : record->body;
    list.push_back({{"kind", edit.key.kind},
                    {"name", edit.key.name},
                    {"before", before},
                    {"after", edit.body}});
    if (!line.json) {
      environment.out << edit.key.kind << " " << edit.key.name << "\n"
                      << (before.empty() ? "" : "- " + before + "\n") << "+ " << edit.body << "\n";
    }
  }
  if (line.json) {
    environment.out << list.dump() << "\n";
  }
  return list.empty() ? ExitCode::kOk : ExitCode::kNotAccepted;
}

ExitCode RunDrain(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 1);
  if (line.endpoints.empty() && line.zone.empty()) {
    throw UsageError("drain needs --endpoint or --zone");
  }
  Json body{{"endpoints", line.endpoints}, {"start", DrainStartTime(line, environment)}};
  if (!line.zone.empty()) {
    body["zone"] = line.zone;
  }
  return SubmitChange(
      line, environment,
      {{{"drain_plan", line.arguments[0]}, false, 1, body.dump(), line.if_version}});
}

ExitCode RunUndrain(const CommandLine& line, const ToolEnvironment& environment) {
  RequireArguments(line, 1);
  return SubmitDeletion(line, environment, {"drain_plan", line.arguments[0]});
}

}  // namespace wagtailwind::cli
