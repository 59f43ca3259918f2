#include <algorithm>
#include <fstream>
#include <ostream>

#include "cli/commands.h"
#include "cli/errors.h"
#include "cli/request_story.h"

namespace wagtailwind::cli {

namespace {

void PrintLine(const LogLine& line, std::ostream& out) {
  out << line.process << " " << line.name;
  for (const auto& [key, value] : line.fields.items()) {
    const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    if (key != "level" && key != "event" && key != "id" && !text.empty()) {
      out << " " << key << "=" << text;
    }
  }
  out << "\n";
}

std::string_view UsualEnd(const RestrictedPlacement& entry) {
  if (entry.reason == "leaving") {
    return "its process ends";
  }
  return entry.reason == "evacuated" ? "the operators take the zone back"
                                     : "the endpoint names no limit";
}

void PrintRestriction(const RestrictedPlacement& entry, const std::string& request_start,
                      std::ostream& out) {
  out << "  " << entry.process << " "
      << (entry.zone.empty() ? "endpoint " + entry.endpoint : "endpoints of zone " + entry.zone)
      << ": " << entry.reason << ", ";
  if (entry.rate) {
    out << "at most " << *entry.rate << " requests a second";
  } else {
    out << "no requests";
  }
  out << " from " << entry.since << " (" << MillisecondsBetween(entry.since, request_start)
      << " ms before) until ";
  if (entry.until.empty()) {
    out << UsualEnd(entry) << "\n";
  } else {
    out << entry.until << " (" << MillisecondsBetween(request_start, entry.until) << " ms after)\n";
  }
}

/// Returns the time of the first line of the request at the process.
std::string RequestStart(const RequestTrace& trace, const std::string& process) {
  const auto found = std::find_if(trace.request.begin(), trace.request.end(),
                                  [&](const LogLine& line) { return line.process == process; });
  return found == trace.request.end() ? std::string() : found->time;
}

void PrintPlain(const RequestTrace& trace, const std::string& id, std::ostream& out) {
  out << "request " << id << "\n\nwhat the processes believed, and since when:\n";
  for (const LogLine& line : trace.prior_state) {
    out << "  " << MillisecondsBetween(line.time, RequestStart(trace, line.process))
        << " ms before: ";
    PrintLine(line, out);
  }
  if (!trace.restricted.empty()) {
    out << "\nwhich endpoints took no requests, or few, at that time:\n";
  }
  for (const RestrictedPlacement& entry : trace.restricted) {
    PrintRestriction(entry, RequestStart(trace, entry.process), out);
  }
  out << "\nwhat happened:\n";
  for (const LogLine& line : trace.request) {
    out << "  " << line.time << " ";
    PrintLine(line, out);
  }
}

nlohmann::ordered_json ToJson(const std::vector<LogLine>& lines) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const LogLine& line : lines) {
    nlohmann::ordered_json object = {
        {"time", line.time}, {"process", line.process}, {"name", line.name}};
    object.update(line.fields);
    list.push_back(std::move(object));
  }
  return list;
}

nlohmann::ordered_json ToJson(const std::vector<RestrictedPlacement>& entries) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const RestrictedPlacement& entry : entries) {
    nlohmann::ordered_json object = {{"process", entry.process}, {"reason", entry.reason}};
    const bool is_zone = !entry.zone.empty();
    object[is_zone ? "zone" : "endpoint"] = is_zone ? entry.zone : entry.endpoint;
    object["since"] = entry.since;
    object["until"] = nullptr;
    if (!entry.until.empty()) {
      object["until"] = entry.until;
    }
    object["rate"] = entry.rate.value_or(0);
    list.push_back(std::move(object));
  }
  return list;
}

}  // namespace

ExitCode RunExplain(const CommandLine& line, const ToolEnvironment& environment) {
  if (line.arguments.size() < 2) {
    throw UsageError("explain needs a request id and log files");
  }
  const std::string& id = line.arguments.front();
  std::vector<LogLine> lines;
  std::size_t malformed_lines = 0;
  for (auto name = line.arguments.begin() + 1; name != line.arguments.end(); ++name) {
    std::ifstream file;
    if (*name != "-") {
      file.open(*name);
      if (!file) {
        throw UsageError(*name + " can't be read");
      }
    }
    std::vector<LogLine> file_lines =
        ReadLogLines(*name == "-" ? environment.in : file, malformed_lines);
    std::move(file_lines.begin(), file_lines.end(), std::back_inserter(lines));
  }
  const RequestTrace trace = BuildRequestTrace(std::move(lines), id);
  if (malformed_lines > 0) {
    environment.err << "wagtailwind: " << malformed_lines << " lines are not log lines\n";
  }
  if (trace.request.empty()) {
    environment.err << "wagtailwind: no log line of request " << id << "\n";
    return ExitCode::kNotFound;
  }
  if (line.json) {
    environment.out << nlohmann::ordered_json{{"id", id},
                                              {"beliefs", ToJson(trace.prior_state)},
                                              {"restricted", ToJson(trace.restricted)},
                                              {"request", ToJson(trace.request)}}
                           .dump()
                    << "\n";
  } else {
    PrintPlain(trace, id, environment.out);
  }
  return ExitCode::kOk;
}

}  // namespace wagtailwind::cli
