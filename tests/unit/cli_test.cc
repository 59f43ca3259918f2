#include <criterion/criterion.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/command_line.h"
#include "cli/errors.h"
#include "cli/record_file.h"
#include "cli/tool.h"
#include "support/fake_clock.h"
#include "support/fake_key_value_service.h"
#include "support/record_samples.h"

namespace {

using namespace wagtailwind::testing;  // NOLINT(google-build-using-namespace)
using wagtailwind::SeededRandomSource;
using wagtailwind::cli::ExitCode;
using wagtailwind::cli::ParseRecordFile;
using wagtailwind::cli::ProcessUnreachable;
using wagtailwind::cli::RecordFileError;
using Json = nlohmann::json;

class FixedInstanceList final : public wagtailwind::platform::InstanceList {
 public:
  std::vector<wagtailwind::platform::ListedInstance> Read() override {
    return {{wagtailwind::InstanceName("r2"), {}, "", false, "found:1"},
            {wagtailwind::InstanceName("r3"), {}, "", true, "leaving:1"}};
  }
};

struct ToolFixture {
  std::shared_ptr<FakeKeyValueService> service = std::make_shared<FakeKeyValueService>();
  FakeClock clock;
  SeededRandomSource random{1};
  std::map<std::string, std::string> states;
  std::function<void()> on_pause = [] {};
  std::string out;
  std::string err;

  ExitCode Run(std::vector<std::string> arguments, const std::string& input = "") {
    std::istringstream in(input);
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    arguments.insert(arguments.end(), {"--platform", "127.0.0.1:1"});
    const ExitCode code = wagtailwind::cli::RunTool(
        arguments,
        {[this](const std::string&) { return service; },
         [](const std::string&) { return std::make_shared<FixedInstanceList>(); },
         [this](const std::string& address) { return FetchState(address); }, clock, random,
         [this](std::chrono::milliseconds duration) {
           clock.Advance(duration);
           on_pause();
         },
         in, out_stream, err_stream});
    out = out_stream.str();
    err = err_stream.str();
    return code;
  }

  std::string FetchState(const std::string& address) {
    if (!states.contains(address)) {
      throw ProcessUnreachable(address);
    }
    return states[address];
  }
};

std::string StateJson(const std::string& instance, int version) {
  return Json{{"instance", {{"name", instance}}}, {"configuration", {{"version", version}}}}.dump();
}

constexpr const char* kService = "{\"kind\":\"service\",\"name\":\"s\",\"body\":{}}";

}  // namespace

// Guards against exit codes by which a script takes a refused change, an unknown outcome or an
// unavailable platform for an accepted change.
Test(cli, exit_codes_tell_the_outcomes_apart) {
  ToolFixture tool;
  cr_assert(tool.Run({"put", "-"}, kService) == ExitCode::kOk);
  cr_assert(tool.Run({"put", "-", "--if-version", "9"}, kService) == ExitCode::kNotAccepted);
  cr_assert(tool.Run({"put", "-", "--if-version", "1"}, kService) == ExitCode::kOk);
  cr_assert(tool.Run({"put", "-"}, "kind: [") == ExitCode::kUsage);
  cr_assert(tool.Run({"put", "absent-file"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"frobnicate"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"get", "service"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"list", "--output", "xml"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"list", "--no-such-option"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"get", "service", "absent"}) == ExitCode::kNotFound);
  tool.service->BeforeNextSwap([&] { tool.service->FailNextReads(1'000); });
  tool.service->LoseNextAnswers(1);
  cr_assert(tool.Run({"delete", "service", "s"}) == ExitCode::kUnknown);
  tool.service->FailNextReads(0);
  cr_assert(tool.out.find("status --change ") != std::string::npos);
  const std::string id = tool.out.substr(tool.out.rfind(' ') + 1, 32);
  cr_assert(tool.Run({"status", "--change", id}) == ExitCode::kOk);
  cr_assert(tool.Run({"status", "--change", "other"}) == ExitCode::kNotFound);
  tool.service->SetDown(true);
  cr_assert(tool.Run({"put", "-"}, kService) == ExitCode::kPlatformUnavailable);
  cr_assert(tool.Run({"list"}) == ExitCode::kPlatformUnavailable);
}

// Guards against a JSON list that is split at its commas, as cxxopts does by default.
Test(cli, edit_takes_a_list) {
  ToolFixture tool;
  const std::string model = R"({"kind":"model","name":"m","body":{"pool":"p","versions":["1"]}})";
  cr_assert(tool.Run({"put", "-"}, model) == ExitCode::kOk);
  cr_assert(tool.Run({"edit", "model", "m", "--set", R"(versions=["1","2"])"}) == ExitCode::kOk);
  cr_assert_eq(Json::parse(Stored(*tool.service).records.at(0).body)["versions"],
               Json::array({"1", "2"}));
}

// Guards against output that scripts can't parse.
Test(cli, json_output_is_json) {
  ToolFixture tool;
  cr_assert(tool.Run({"put", "-", "-o", "json", "--dry-run"}, kService) == ExitCode::kOk);
  cr_assert_eq(Json::parse(tool.out)["dry_run"], true);
  cr_assert(Stored(*tool.service).records.empty());
  (void)tool.Run({"put", "-", "-o", "json"}, kService);
  cr_assert_eq(Json::parse(tool.out)["version"], 1);
  (void)tool.Run({"list", "-o", "json"});
  cr_assert_eq(Json::parse(tool.out).size(), 1U);
  (void)tool.Run({"get", "service", "s", "-o", "json"});
  cr_assert_eq(Json::parse(tool.out)["name"], "s");
  (void)tool.Run({"status", "-o", "json"});
  cr_assert_eq(Json::parse(tool.out)["records"]["service"], 1);
}

Test(cli, help_names_each_command_and_the_exit_codes) {
  ToolFixture tool;
  cr_assert(tool.Run({"--help"}) == ExitCode::kOk);
  for (const char* word : {"status", "drain", "wait", "Exit codes"}) {
    cr_assert(tool.out.find(word) != std::string::npos);
  }
  cr_assert(tool.Run({"help", "drain"}) == ExitCode::kOk);
  cr_assert(tool.out.find("Example:") != std::string::npos);
}

// Guards against an edit that overwrites a change made after the edited record was read.
Test(cli, edit_changes_only_the_named_fields_of_the_version_it_read) {
  ToolFixture tool;
  StoreBasics(*tool.service);
  (void)tool.Run({"put", "-"},
                 "kind: organisation\nname: o\nschema: 1\n"
                 "body: {weight: 1, default_class: normal}");
  cr_assert(tool.Run({"edit", "organisation", "o", "--set", "weight=2.5"}) == ExitCode::kOk);
  const auto document = Stored(*tool.service);
  cr_assert_eq(document.Find({"organisation", "o"})->body,
               R"({"weight":2.5,"default_class":"normal"})");
  cr_assert_eq(document.Find({"organisation", "o"})->schema, 1U);
  cr_assert(tool.Run({"edit", "organisation", "o", "--unset", "weight"}) == ExitCode::kNotAccepted);
  cr_assert(tool.Run({"edit", "organisation", "o", "--unset", "x"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"edit", "organisation", "o", "--set", "weight=3", "--if-version", "2"}) ==
            ExitCode::kNotAccepted);
}

Test(cli, drain_undrain_and_diff) {
  ToolFixture tool;
  StoreBasics(*tool.service);
  cr_assert(tool.Run({"drain", "d"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"drain", "d", "--endpoint", "e1", "--endpoint", "e2"}) ==
            ExitCode::kNotAccepted);
  cr_assert(tool.out.find("model_without_engine") != std::string::npos);
  cr_assert(tool.Run({"drain", "d", "--zone", "z1"}) == ExitCode::kOk);
  cr_assert(tool.Run({"undrain", "d"}) == ExitCode::kOk);
  cr_assert(tool.Run({"diff", "-"}, kService) == ExitCode::kNotAccepted);
  (void)tool.Run({"put", "-"}, kService);
  cr_assert(tool.Run({"diff", "-"}, "kind: service\nname: s\nbody: { }\n") == ExitCode::kOk);
}

// Guards against a `wait` that succeeds while a process has an older version or can't be reached.
Test(cli, wait_ends_when_each_process_has_the_version_and_names_the_lagging_one) {
  ToolFixture tool;
  StoreBasics(*tool.service);
  (void)Make(*tool.service, {PutOf("service", "s", "{}")});
  tool.states = {{"a:1", StateJson("r1", 2)}, {"found:1", StateJson("r2", 1)}};
  const std::vector<std::string> wait{"wait", "--process", "a:1", "--instance-list", "x:1"};
  cr_assert(tool.Run(wait) == ExitCode::kTimeout);
  cr_assert(tool.err.find("1 of 2") != std::string::npos);
  cr_assert(tool.err.find("waiting for r2 at found:1 (version 1)") != std::string::npos);
  tool.states.erase("found:1");
  cr_assert(tool.Run(wait) == ExitCode::kTimeout);
  cr_assert(tool.out.find("unreachable") != std::string::npos);
  tool.on_pause = [&] { tool.states["found:1"] = StateJson("r2", 3); };
  cr_assert(tool.Run(wait) == ExitCode::kOk);
  cr_assert(tool.Run({"wait"}) == ExitCode::kUsage);
}

Test(cli, dump_shows_the_state_of_a_process) {
  ToolFixture tool;
  tool.states = {{"a:1", StateJson("r1", 2)}, {"b:1", "not json"}};
  cr_assert(tool.Run({"dump", "a:1"}) == ExitCode::kOk);
  cr_assert(tool.out.find("configuration.version") != std::string::npos);
  cr_assert(tool.Run({"dump", "b:1"}) == ExitCode::kProcessUnreachable);
  cr_assert(tool.Run({"dump", "c:1"}) == ExitCode::kProcessUnreachable);
}

// Guards against YAML scalars that change their type when they are converted to JSON.
Test(cli, record_files_keep_the_types_of_values) {
  const auto edits = ParseRecordFile(
      "- {kind: a, name: x, body: {t: \"1\", n: 1, f: 0.9, b: true, l: [v1, 2]}}\n"
      "- {kind: organisation, name: y, if_version: 3, body: {}}\n");
  cr_assert_eq(edits.size(), 2U);
  cr_assert_eq(edits[0].body, R"({"t":"1","n":1,"f":0.9,"b":true,"l":["v1",2]})");
  cr_assert_eq(edits[1].schema, 2U);
  cr_assert_eq(*edits[1].if_version, 3U);
  for (const char* text :
       {"", "text", "- 1", "kind: a", "{kind: a, name: b}",
        "{kind: a, name: b, body: {}, other: 1}", "{kind: a, name: b, body: {x: 1, x: 2}}"}) {
    cr_assert_throw((void)ParseRecordFile(text), RecordFileError);
  }
}

// Guards against example files that the current validation rules refuse.
Test(cli, the_examples_load_with_one_put) {
  for (const char* name : {"kandy-lanka", "clearview"}) {
    ToolFixture tool;
    const std::string path =
        std::string(WAGTAILWIND_SOURCE_DIR) + "/examples/" + name + "/records.yaml";
    cr_assert(tool.Run({"put", path}) == ExitCode::kOk, "%s", tool.out.c_str());
    cr_assert_eq(Stored(*tool.service).version, 1U);
  }
}
