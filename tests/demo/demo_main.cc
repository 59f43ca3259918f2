// Starts a small fleet on loopback, sends a chat that returns through another router and a service
// call that must not run twice, and prints the results. Exits with 0 only if all checks pass.
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/caller.h"
#include "support/fleet.h"

namespace {

using wagtailwind::http::Header;
using wagtailwind::http::Response;
using wagtailwind::testing::AnswerText;
using wagtailwind::testing::ChatRequest;
using wagtailwind::testing::Clearview;
using wagtailwind::testing::Fleet;
using wagtailwind::testing::FleetOptions;
using wagtailwind::testing::FleetProcess;
using wagtailwind::testing::HeaderOf;
using wagtailwind::testing::HistoryOf;
using wagtailwind::testing::KandyLanka;

/// \brief Prints results and checks, and remembers whether all checks passed.
class DemoReport {
 public:
  static void PrintTitle(const std::string& text) { std::cout << '\n' << text << '\n'; }
  static void PrintField(const std::string& name, const std::string& value) {
    std::cout << "  " << name << ": " << value << '\n';
  }
  void Check(bool passed, const std::string& text) {
    std::cout << (passed ? "  [ok]     " : "  [FAILED] ") << text << std::endl;
    m_all_passed = m_all_passed && passed;
  }
  [[nodiscard]] bool AllPassed() const noexcept { return m_all_passed; }

 private:
  bool m_all_passed = true;
};

void DescribeFleet(const Fleet& fleet) {
  DemoReport::PrintTitle("Fleet of the deployment " + fleet.Options().deployment.folder);
  for (const auto* group : {&fleet.routers, &fleet.agents}) {
    for (const FleetProcess& process : *group) {
      const bool is_router = process.addresses.contains("http");
      DemoReport::PrintField(process.name + (is_router ? " (router)" : " (agent)"),
                             "zone " + process.zone + ", " +
                                 (is_router ? "http " + process.addresses.at("http")
                                            : "rpc " + process.addresses.at("rpc")));
    }
  }
}

void DescribeAnswer(const FleetProcess& router, const Response& answer) {
  DemoReport::PrintField("through", router.name);
  DemoReport::PrintField("status", std::to_string(answer.status) + ", outcome " +
                                       HeaderOf(answer, "Wagtailwind-Outcome"));
  DemoReport::PrintField("served by", HeaderOf(answer, "Wagtailwind-Served-By"));
}

void DescribeChatAnswer(const FleetProcess& router, const Response& answer) {
  DescribeAnswer(router, answer);
  DemoReport::PrintField("prompt tokens found in the prefix cache",
                         HeaderOf(answer, "Wagtailwind-Cached-Tokens"));
}

void ShowReturningChat(const Fleet& fleet, DemoReport& report) {
  ChatRequest chat;
  chat.organisation = fleet.Options().deployment.folder;
  chat.model = fleet.Options().deployment.model;
  chat.chat = "demo-1";
  chat.messages = {std::string(2000, 'x') + " Please summarise this."};

  DemoReport::PrintTitle("1. A chat begins");
  const Response first = BeginChat(fleet.routers[0], chat);
  DescribeChatAnswer(fleet.routers[0], first);
  report.Check(first.status == 200 && !AnswerText(first).empty(), "the answer is complete");

  DemoReport::PrintTitle("2. The chat returns through the other router");
  const Response second = SendChat(fleet.routers[1], chat);
  DescribeChatAnswer(fleet.routers[1], second);
  report.Check(second.status == 200 && !AnswerText(second).empty(), "the answer is complete");
  const std::string served_by = HeaderOf(second, "Wagtailwind-Served-By");
  report.Check(!served_by.empty() && served_by == HeaderOf(first, "Wagtailwind-Served-By"),
               "the same engine served it");
  const std::string cached = HeaderOf(second, "Wagtailwind-Cached-Tokens");
  report.Check(!cached.empty() && cached != "0", "its prefix was cached there");
}

std::vector<std::string> ExecutionsWith(const Fleet& fleet, const std::string& key) {
  std::vector<std::string> executions;
  for (const FleetProcess& service : fleet.services) {
    for (const std::string& line : HistoryOf(service)) {
      if (nlohmann::json::parse(line).at("key") == key) {
        executions.push_back(line);
      }
    }
  }
  return executions;
}

void ShowCallThatRunsOnce(const Fleet& fleet, DemoReport& report) {
  const auto& deployment = fleet.Options().deployment;
  const std::string key = wagtailwind::testing::NewRequestKey();
  const std::string target = "/services/" + deployment.service + deployment.non_repeatable_path;
  const std::vector<Header> headers{{"Wagtailwind-Organisation", deployment.folder},
                                    {"Wagtailwind-Request-Key", key},
                                    {"Content-Type", "application/json"}};
  const std::string body = R"({"item":"R-8841","date":"2026-12-07"})";

  DemoReport::PrintTitle("3. POST " + target + " with the request key " + key);
  const Response first = SendServiceCall(fleet.routers[0], "POST", target, body, headers);
  DescribeAnswer(fleet.routers[0], first);
  DemoReport::PrintField("answer", first.body);
  report.Check(first.status == 200, "the call ran");

  DemoReport::PrintTitle("4. The same call with the same key through the other router");
  const Response second = SendServiceCall(fleet.routers[1], "POST", target, body, headers);
  DescribeAnswer(fleet.routers[1], second);
  DemoReport::PrintField("answer", second.body);
  report.Check(second.status == 200 && second.body == first.body,
               "the caller got the answer of the first call");

  DemoReport::PrintTitle("5. What the service recorded under this key");
  const std::vector<std::string> executions = ExecutionsWith(fleet, key);
  for (const std::string& execution : executions) {
    DemoReport::PrintField("executed", execution);
  }
  report.Check(executions.size() == 1, "exactly one execution");
}

void ShowStop(Fleet& fleet, DemoReport& report) {
  DemoReport::PrintTitle("6. Graceful stop of all routers and agents");
  bool all_clean = true;
  for (const auto& [name, status] : fleet.StopGracefully()) {
    DemoReport::PrintField(name, "exit status " + std::to_string(status));
    all_clean = all_clean && status == 0;
  }
  report.Check(all_clean, "every process ended with status 0");
}

bool RunDemo(const std::string& deployment) {
  FleetOptions options;
  options.binary_dir = WAGTAILWIND_BINARY_DIR;
  options.source_dir = WAGTAILWIND_SOURCE_DIR;
  options.deployment = deployment == "clearview" ? Clearview() : KandyLanka();
  std::cout << "Starting stand-ins, agents and routers on loopback ..." << std::endl;
  Fleet fleet(options);
  fleet.LoadRecordsAndWaitReady();
  fleet.WaitAllKnown();
  DescribeFleet(fleet);
  DemoReport report;
  ShowReturningChat(fleet, report);
  ShowCallThatRunsOnce(fleet, report);
  ShowStop(fleet, report);
  std::cout << (report.AllPassed() ? "\nAll checks passed.\n" : "\nThe demo FAILED.\n");
  return report.AllPassed();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    cxxopts::Options options("demo", "Shows a small fleet at work");
    options.add_options()("deployment", "kandy-lanka or clearview",
                          cxxopts::value<std::string>()->default_value("kandy-lanka"))(
        "help", "print this text");
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    const auto deployment = parsed["deployment"].as<std::string>();
    if (parsed.count("help") > 0 || (deployment != "kandy-lanka" && deployment != "clearview")) {
      std::cout << options.help();
      return parsed.count("help") > 0 ? 0 : 2;
    }
    return RunDemo(deployment) ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << '\n';
    return 1;
  }
}
