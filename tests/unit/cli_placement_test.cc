#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/errors.h"
#include "cli/tool.h"
#include "support/fake_clock.h"

namespace {

using namespace wagtailwind::testing;  // NOLINT(google-build-using-namespace)
using wagtailwind::SeededRandomSource;
using wagtailwind::cli::AdminResponse;
using wagtailwind::cli::ExitCode;
using wagtailwind::cli::ProcessUnreachable;
using Json = nlohmann::json;

/// Runs the tool against a forwarder that gives one answer.
struct PlacementTool {
  ExitCode Run(std::vector<std::string> arguments) {
    FakeClock clock;
    SeededRandomSource random{1};
    std::istringstream in;
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    arguments.insert(arguments.begin(), "placement");
    const ExitCode code = wagtailwind::cli::RunTool(
        arguments,
        {[](const std::string&) { return nullptr; }, [](const std::string&) { return nullptr; },
         [](const std::string&) { return std::string(); }, clock, random,
         [](std::chrono::milliseconds) {}, in, out_stream, err_stream,
         [this](const std::string& address, const std::string& text) {
           asked = address;
           query = text;
           if (!reachable) {
             throw ProcessUnreachable(address);
           }
           return answer;
         }});
    out = out_stream.str();
    err = err_stream.str();
    return code;
  }

  AdminResponse answer{
      .status = 200,
      .body =
          R"({"outcome":"placed","route":"r","services":[{"service":"s","mean_load":1.5,"candidates":)"
          R"([{"endpoint":"e1","load":1},{"endpoint":"e2","load":2}],"excluded":)"
          R"([{"endpoint":"e3","reason":"evacuated","wait_ms":null}]}]})"};
  bool reachable = true;
  std::string asked;
  std::string query;
  std::string out;
  std::string err;
};

}  // namespace

// Guards against a query that leaves out what the operator has given.
Test(cli_placement, sends_all_options) {
  PlacementTool tool;
  cr_assert(tool.Run({"--admin", "127.0.0.1:9", "--host", "h", "--path", "/p", "--api-key", "k",
                      "--model", "m", "--tokens", "10,20", "--prompt", "a:1,b:2"}) ==
            ExitCode::kOk);
  cr_assert_eq(tool.asked, std::string("127.0.0.1:9"));
  cr_assert_eq(Json::parse(tool.query), (Json{{"host", "h"},
                                              {"path", "/p"},
                                              {"api_key", "k"},
                                              {"model", "m"},
                                              {"tokens", "10,20"},
                                              {"prompt", "a:1,b:2"}}));
}

// Guards against output in which the order or the reasons are lost.
Test(cli_placement, prints_candidates_in_order_and_reasons) {
  PlacementTool tool;
  const std::vector<std::string> arguments = {"--admin", "a:1", "--host", "h", "--path", "/p"};
  cr_assert(tool.Run(arguments) == ExitCode::kOk);
  cr_assert_eq(tool.out, std::string("request outcome=placed route=r\n"
                                     "service service=s mean_load=1.5\n"
                                     "  1. endpoint=e1 load=1\n"
                                     "  2. endpoint=e2 load=2\n"
                                     "  excluded endpoint=e3 reason=evacuated wait_ms=unknown\n"));
  std::vector<std::string> as_json = arguments;
  as_json.insert(as_json.end(), {"-o", "json"});
  cr_assert(tool.Run(as_json) == ExitCode::kOk);
  cr_assert_eq(Json::parse(tool.out)["route"], "r");
}

// Guards against exit codes by which a script takes a refusal or an error for a placement.
Test(cli_placement, exit_codes_tell_the_outcomes_apart) {
  PlacementTool tool;
  const std::vector<std::string> arguments = {"--admin", "a:1", "--host", "h", "--path", "/p"};
  cr_assert(tool.Run({"--admin", "a:1", "--host", "h"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"--host", "h", "--path", "/p"}) == ExitCode::kUsage);
  cr_assert(tool.Run({"x", "--admin", "a:1", "--host", "h", "--path", "/p"}) == ExitCode::kUsage);
  tool.answer.body = R"({"outcome":"refused","reason":"unknown_route","status":404})";
  cr_assert(tool.Run(arguments) == ExitCode::kNotAccepted);
  cr_assert(tool.out.find("reason=unknown_route") != std::string::npos);
  tool.answer = {.status = 400, .body = R"({"error":"invalid_query","detail":"tokens are wrong"})"};
  cr_assert(tool.Run(arguments) == ExitCode::kUsage);
  cr_assert(tool.err.find("tokens are wrong") != std::string::npos);
  tool.answer = {.status = 404, .body = ""};
  cr_assert(tool.Run(arguments) == ExitCode::kProcessUnreachable);
  tool.reachable = false;
  cr_assert(tool.Run(arguments) == ExitCode::kProcessUnreachable);
}
