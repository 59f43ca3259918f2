#include <iostream>
#include <memory>
#include <thread>
#include <utility>

#include "cli/errors.h"
#include "cli/tool.h"
#include "core/log.h"
#include "core/metrics.h"
#include "http/client.h"
#include "platform/http_instance_list.h"
#include "platform/http_key_value_service.h"

namespace {

constexpr std::chrono::seconds kStateTimeout{2};

wagtailwind::cli::AdminResponse SendToAdmin(const std::string& address, const std::string& method,
                                            const std::string& target, const std::string& body) {
  try {
    const wagtailwind::http::Response response =
        wagtailwind::http::Client(address).Send(method, target, body, kStateTimeout);
    return {.status = response.status, .body = response.body};
  } catch (const wagtailwind::http::NotConnected& error) {
    throw wagtailwind::cli::ProcessUnreachable(error.what());
  } catch (const wagtailwind::http::ResponseLost& error) {
    throw wagtailwind::cli::ProcessUnreachable(error.what());
  }
}

std::string FetchState(const std::string& address) {
  wagtailwind::cli::AdminResponse response = SendToAdmin(address, "GET", "/state", "");
  if (response.status != 200) {
    throw wagtailwind::cli::ProcessUnreachable(address + ": status " +
                                               std::to_string(response.status));
  }
  return std::move(response.body);
}

wagtailwind::cli::AdminResponse QueryPlacement(const std::string& address,
                                               const std::string& query) {
  return SendToAdmin(address, "POST", "/placement", query);
}

}  // namespace

int main(int argc, char** argv) {
  using wagtailwind::platform::HttpInstanceList;
  using wagtailwind::platform::HttpKeyValueService;
  // The commands print outcomes themselves; warnings of the platform clients would repeat them.
  wagtailwind::InitialiseLogging(wagtailwind::LogLevel::kError, "wagtailwind");
  wagtailwind::MetricsRegistry metrics;
  const wagtailwind::SystemClock clock;
  wagtailwind::SeededRandomSource random(wagtailwind::SeededRandomSource::EntropySeed());
  const wagtailwind::cli::ToolEnvironment environment{
      [&](const std::string& address) {
        return std::make_shared<HttpKeyValueService>(address, metrics);
      },
      [&](const std::string& address) {
        return std::make_shared<HttpInstanceList>(address, metrics);
      },
      &FetchState,
      clock,
      random,
      [](std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); },
      std::cin,
      std::cout,
      std::cerr,
      &QueryPlacement};
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(wagtailwind::cli::RunTool(arguments, environment));
}
