#include <fstream>
#include <ostream>

#include "cli/commands.h"
#include "cli/errors.h"
#include "cli/request_story.h"

namespace wagtailwind::cli {

namespace {

void PrintFields(const LogLine& line, std::ostream& out) {
  out << line.process << " " << line.name;
  for (const auto& [key, value] : line.fields.items()) {
    const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    if (key != "level" && key != "event" && key != "id" && !text.empty()) {
      out << " " << key << "=" << text;
    }
  }
  out << "\n";
}

void PrintPlain(const RequestStory& story, const std::string& id, std::ostream& out) {
  out << "request " << id << "\n\nwhat the processes believed, and since when:\n";
  for (const LogLine& line : story.beliefs) {
    std::string first;
    for (const LogLine& request : story.request) {
      if (first.empty() && request.process == line.process) {
        first = request.time;
      }
    }
    out << "  " << MillisecondsBetween(line.time, first) << " ms before: ";
    PrintFields(line, out);
  }
  out << "\nwhat happened:\n";
  for (const LogLine& line : story.request) {
    out << "  " << line.time << " ";
    PrintFields(line, out);
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

}  // namespace

ExitCode RunExplain(const CommandLine& line, const ToolEnvironment& environment) {
  if (line.arguments.size() < 2) {
    throw UsageError("explain needs a request id and log files");
  }
  const std::string& id = line.arguments.front();
  std::vector<LogLine> lines;
  std::size_t unreadable = 0;
  for (auto name = line.arguments.begin() + 1; name != line.arguments.end(); ++name) {
    std::ifstream file;
    if (*name != "-") {
      file.open(*name);
      if (!file) {
        throw UsageError(*name + " can't be read");
      }
    }
    std::vector<LogLine> more = ReadLogLines(*name == "-" ? environment.in : file, unreadable);
    std::move(more.begin(), more.end(), std::back_inserter(lines));
  }
  const RequestStory story = FindRequest(std::move(lines), id);
  if (unreadable > 0) {
    environment.err << "wagtailwind: " << unreadable << " lines are no log lines\n";
  }
  if (story.request.empty()) {
    environment.err << "wagtailwind: no line of request " << id << "\n";
    return ExitCode::kNotFound;
  }
  if (line.json) {
    environment.out << nlohmann::ordered_json{{"id", id},
                                              {"beliefs", ToJson(story.beliefs)},
                                              {"request", ToJson(story.request)}}
                           .dump()
                    << "\n";
  } else {
    PrintPlain(story, id, environment.out);
  }
  return ExitCode::kOk;
}

}  // namespace wagtailwind::cli
