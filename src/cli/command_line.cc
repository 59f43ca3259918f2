#include "cli/command_line.h"

// Disables the splitting of values at commas, which would break --set versions=["1","2"]. Options
// are repeated to give several values.
#define CXXOPTS_VECTOR_DELIMITER '\0'

#include <cstdlib>
#include <cxxopts.hpp>
#include <map>

#include "cli/errors.h"

namespace wagtailwind::cli {

namespace {

using StringList = std::vector<std::string>;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("wagtailwind", "Reads and changes the records of a fleet.");
  options.add_options()("h,help", "show help")(
      "o,output", "plain or json", cxxopts::value<std::string>()->default_value("plain"))(
      "platform", "key-value service, ip:port", cxxopts::value<std::string>())(
      "instance-list", "instance list, ip:port", cxxopts::value<std::string>())(
      "if-version", "change only if the record has this version; 0: does not exist",
      cxxopts::value<std::uint64_t>())("dry-run", "validate the change without making it")(
      "version", "configuration version", cxxopts::value<std::uint64_t>())(
      "change", "change id", cxxopts::value<std::string>())("set", "field=value",
                                                            cxxopts::value<StringList>())(
      "unset", "field", cxxopts::value<StringList>())("endpoint", "endpoint to drain",
                                                      cxxopts::value<StringList>())(
      "zone", "availability zone to drain", cxxopts::value<std::string>())(
      "start", "time such as 2026-11-30T08:00:00Z", cxxopts::value<std::string>())(
      "process", "admin address of a process, ip:port", cxxopts::value<StringList>())(
      "timeout", "seconds", cxxopts::value<unsigned int>())(
      "admin", "admin address of a forwarder, ip:port", cxxopts::value<std::string>())(
      "host", "Host of a request", cxxopts::value<std::string>())(
      "path", "path of a request", cxxopts::value<std::string>())("api-key", "API key of a request",
                                                                  cxxopts::value<std::string>())(
      "model", "model that a request names", cxxopts::value<std::string>())(
      "tokens", "prompt tokens, largest number of answer tokens", cxxopts::value<std::string>())(
      "prompt", "parts of a prompt, id:tokens,...", cxxopts::value<std::string>())(
      "arguments", "", cxxopts::value<StringList>());
  options.parse_positional({"arguments"});
  return options;
}

template <typename Value>
Value OptionOrDefault(const cxxopts::ParseResult& parsed, const char* name, Value fallback) {
  return parsed.count(name) > 0 ? parsed[name].as<Value>() : fallback;
}

std::optional<std::uint64_t> OptionalNumber(const cxxopts::ParseResult& parsed, const char* name) {
  return parsed.count(name) > 0 ? std::optional(parsed[name].as<std::uint64_t>()) : std::nullopt;
}

std::string EnvironmentVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

CommandLine ToCommandLine(const cxxopts::ParseResult& parsed) {
  CommandLine line;
  StringList words = OptionOrDefault(parsed, "arguments", StringList());
  if (!words.empty()) {
    line.command = words.front();
    line.arguments.assign(words.begin() + 1, words.end());
  }
  const auto output = parsed["output"].as<std::string>();
  if (output != "plain" && output != "json") {
    throw UsageError("--output must be plain or json, not " + output);
  }
  line.json = output == "json";
  line.help = parsed.count("help") > 0;
  line.dry_run = parsed.count("dry-run") > 0;
  line.platform = OptionOrDefault(parsed, "platform", EnvironmentVariable("WAGTAILWIND_PLATFORM"));
  line.instance_list =
      OptionOrDefault(parsed, "instance-list", EnvironmentVariable("WAGTAILWIND_INSTANCE_LIST"));
  line.if_version = OptionalNumber(parsed, "if-version");
  line.version = OptionalNumber(parsed, "version");
  line.change = OptionOrDefault(parsed, "change", std::string());
  line.set = OptionOrDefault(parsed, "set", StringList());
  line.unset = OptionOrDefault(parsed, "unset", StringList());
  line.endpoints = OptionOrDefault(parsed, "endpoint", StringList());
  line.zone = OptionOrDefault(parsed, "zone", std::string());
  line.start = OptionOrDefault(parsed, "start", std::string());
  line.processes = OptionOrDefault(parsed, "process", StringList());
  line.timeout = std::chrono::seconds(OptionOrDefault(parsed, "timeout", 30U));
  const auto text = [&parsed](const char* name) {
    return OptionOrDefault(parsed, name, std::string());
  };
  line.admin = text("admin");
  line.host = text("host");
  line.path = text("path");
  line.api_key = text("api-key");
  line.model = text("model");
  line.tokens = text("tokens");
  line.prompt = text("prompt");
  return line;
}

const std::map<std::string, std::string>& HelpByCommand() {
  static const std::map<std::string, std::string> help{
      {"status",
       "wagtailwind status [--change ID]\n"
       "  Shows the configuration version and the number of records, or the outcome of a change.\n"
       "  Example: wagtailwind status --change 5b0c0c3e9a7d4f0e8f1f2d3c4b5a6978\n"},
      {"get",
       "wagtailwind get KIND NAME\n  Shows a record.\n"
       "  Example: wagtailwind get organisation kandy-lanka --output json\n"},
      {"list",
       "wagtailwind list [KIND]\n  Lists the records.\n  Example: wagtailwind list drain_plan\n"},
      {"put",
       "wagtailwind put FILE... [--if-version N] [--dry-run]\n"
       "  Writes all records of the files (YAML or JSON; - is standard input) as one change.\n"
       "  Example: wagtailwind put examples/kandy-lanka/records.yaml --dry-run\n"},
      {"edit",
       "wagtailwind edit KIND NAME [--set FIELD=VALUE]... [--unset FIELD]... [--if-version N]\n"
       "                 [--dry-run]\n"
       "  Changes fields of a record. A value that is not valid JSON is taken as a string.\n"
       "  Example: wagtailwind edit organisation kandy-lanka --set weight=2\n"},
      {"delete",
       "wagtailwind delete KIND NAME [--if-version N] [--dry-run]\n  Deletes a record.\n"
       "  Example: wagtailwind delete adapter tone-formal --if-version 12\n"},
      {"diff",
       "wagtailwind diff FILE...\n  Shows what `put` would change; exit code 1 if there are "
       "differences.\n"
       "  Example: wagtailwind diff records.yaml\n"},
      {"drain",
       "wagtailwind drain PLAN [--endpoint NAME]... [--zone ZONE] [--start TIME] [--dry-run]\n"
       "  Stops new work at endpoints from a start time on, by default from now on.\n"
       "  Example: wagtailwind drain rack-7 --endpoint engine-12 --endpoint engine-13\n"},
      {"undrain",
       "wagtailwind undrain PLAN [--if-version N] [--dry-run]\n  Removes a drain plan.\n"
       "  Example: wagtailwind undrain rack-7\n"},
      {"wait",
       "wagtailwind wait [--version N] [--process IP:PORT]... [--instance-list IP:PORT]\n"
       "                 [--timeout SECONDS]\n"
       "  Waits until a version, by default the newest, is in force at each process.\n"
       "  Example: wagtailwind wait --version 12 --process 127.0.0.1:9100 --timeout 10\n"},
      {"explain",
       "wagtailwind explain REQUEST LOGFILE...\n"
       "  Shows the log lines of a request and the state of each process before it (- is standard\n"
       "  input).\n"
       "  Example: wagtailwind explain 9c41d07be2a35f68 router-1.log router-2.log\n"},
      {"placement",
       "wagtailwind placement --admin IP:PORT --host HOST --path PATH [--api-key KEY]\n"
       "                      [--model MODEL] [--tokens IN,OUT] [--prompt ID:TOKENS,...]\n"
       "  Asks a forwarder where such a request would go now, and why, without sending it. Exit\n"
       "  code 1 if it would be refused.\n"
       "  Example: wagtailwind placement --admin 127.0.0.1:9100 --host api.example --path /v1/x\n"},
      {"dump",
       "wagtailwind dump IP:PORT\n  Shows the state of the process at this admin address.\n"
       "  Example: wagtailwind dump 127.0.0.1:9100 --output json\n"}};
  return help;
}

}  // namespace

CommandLine ParseCommandLine(const std::vector<std::string>& arguments) {
  std::vector<const char*> raw{"wagtailwind"};
  for (const std::string& argument : arguments) {
    raw.push_back(argument.c_str());
  }
  cxxopts::Options options = MakeOptions();
  try {
    return ToCommandLine(options.parse(static_cast<int>(raw.size()), raw.data()));
  } catch (const cxxopts::exceptions::exception& error) {
    throw UsageError(error.what());
  }
}

std::string HelpText(const std::string& command) {
  const auto found = HelpByCommand().find(command);
  if (found != HelpByCommand().end()) {
    return found->second;
  }
  std::string text = "wagtailwind COMMAND [OPTION]...\n\n";
  for (const auto& [name, help] : HelpByCommand()) {
    text += help + "\n";
  }
  return text +
         "Common options: --platform IP:PORT (or WAGTAILWIND_PLATFORM), --output plain|json.\n"
         "Exit codes: 0 done, 1 not accepted, 2 usage, 3 unknown outcome, 4 platform unavailable,\n"
         "5 not found, 6 not in force in time, 7 process unreachable.\n";
}

}  // namespace wagtailwind::cli
