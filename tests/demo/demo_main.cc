// Starts a small fleet on loopback, sends a returning chat and a call that must not run twice, and
// shows what happened. Exits with 0 only if all of it was as it should be.
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

/// \brief Prints what is expected beside what was seen.
class Report {
 public:
  static void Title(const std::string& text) { std::cout << '\n' << text << '\n'; }
  static void Line(const std::string& name, const std::string& value) {
    std::cout << "  " << name << ": " << value << '\n';
  }
  void Expect(bool seen, const std::string& text) {
    std::cout << (seen ? "  [ok]     " : "  [FAILED] ") << text << std::endl;
    m_all_seen = m_all_seen && seen;
  }
  [[nodiscard]] bool AllSeen() const noexcept { return m_all_seen; }

 private:
  bool m_all_seen = true;
};

void DescribeFleet(const Fleet& fleet) {
  Report::Title("Fleet of the deployment " + fleet.Options().deployment.folder);
  for (const auto* group : {&fleet.routers, &fleet.agents}) {
    for (const FleetProcess& process : *group) {
      const bool is_router = process.addresses.contains("http");
      Report::Line(process.name + (is_router ? " (router)" : " (agent)"),
                   "zone " + process.zone + ", " +
                       (is_router ? "http " + process.addresses.at("http")
                                  : "rpc " + process.addresses.at("rpc")));
    }
  }
}

void DescribeAnswer(const FleetProcess& router, const Response& answer) {
  Report::Line("through", router.name);
  Report::Line("status", std::to_string(answer.status) + ", outcome " +
                             HeaderOf(answer, "Wagtailwind-Outcome"));
  Report::Line("served by", HeaderOf(answer, "Wagtailwind-Served-By"));
}

void DescribeChatAnswer(const FleetProcess& router, const Response& answer) {
  DescribeAnswer(router, answer);
  Report::Line("prompt tokens found in the prefix cache",
               HeaderOf(answer, "Wagtailwind-Cached-Tokens"));
}

void ShowReturningChat(const Fleet& fleet, Report& report) {
  ChatRequest chat;
  chat.organisation = fleet.Options().deployment.folder;
  chat.model = fleet.Options().deployment.model;
  chat.chat = "demo-1";
  chat.messages = {std::string(2000, 'x') + " Please summarise this."};

  Report::Title("1. A chat begins");
  const Response first = BeginChat(fleet.routers[0], chat);
  DescribeChatAnswer(fleet.routers[0], first);
  report.Expect(first.status == 200 && !AnswerText(first).empty(), "the answer came whole");

  Report::Title("2. The chat returns through the other router");
  const Response second = SendChat(fleet.routers[1], chat);
  DescribeChatAnswer(fleet.routers[1], second);
  report.Expect(second.status == 200 && !AnswerText(second).empty(), "the answer came whole");
  const std::string served_by = HeaderOf(second, "Wagtailwind-Served-By");
  report.Expect(!served_by.empty() && served_by == HeaderOf(first, "Wagtailwind-Served-By"),
                "the same engine served it");
  const std::string cached = HeaderOf(second, "Wagtailwind-Cached-Tokens");
  report.Expect(!cached.empty() && cached != "0", "its prefix was cached there");
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

void ShowCallThatRunsOnce(const Fleet& fleet, Report& report) {
  const auto& deployment = fleet.Options().deployment;
  const std::string key = wagtailwind::testing::NewRequestKey();
  const std::string target = "/services/" + deployment.service + deployment.non_repeatable_path;
  const std::vector<Header> headers{{"Wagtailwind-Organisation", deployment.folder},
                                    {"Wagtailwind-Request-Key", key},
                                    {"Content-Type", "application/json"}};
  const std::string body = R"({"item":"R-8841","date":"2026-12-07"})";

  Report::Title("3. POST " + target + " with the request key " + key);
  const Response first = SendServiceCall(fleet.routers[0], "POST", target, body, headers);
  DescribeAnswer(fleet.routers[0], first);
  Report::Line("answer", first.body);
  report.Expect(first.status == 200, "the call ran");

  Report::Title("4. The same call with the same key through the other router");
  const Response second = SendServiceCall(fleet.routers[1], "POST", target, body, headers);
  DescribeAnswer(fleet.routers[1], second);
  Report::Line("answer", second.body);
  report.Expect(second.status == 200 && second.body == first.body,
                "the caller got the answer of the first call");

  Report::Title("5. What the service recorded under this key");
  const std::vector<std::string> executions = ExecutionsWith(fleet, key);
  for (const std::string& execution : executions) {
    Report::Line("executed", execution);
  }
  report.Expect(executions.size() == 1, "exactly one execution");
}

void ShowStop(Fleet& fleet, Report& report) {
  Report::Title("6. Graceful stop of all routers and agents");
  bool all_clean = true;
  for (const auto& [name, status] : fleet.StopGracefully()) {
    Report::Line(name, "exit status " + std::to_string(status));
    all_clean = all_clean && status == 0;
  }
  report.Expect(all_clean, "every process ended with status 0");
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
  Report report;
  ShowReturningChat(fleet, report);
  ShowCallThatRunsOnce(fleet, report);
  ShowStop(fleet, report);
  std::cout << (report.AllSeen() ? "\nAll of it was seen.\n" : "\nThe demo FAILED.\n");
  return report.AllSeen();
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
