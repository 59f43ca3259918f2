#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cases.hpp"
#include "configuration.hpp"
#include "fleet.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

namespace {

constexpr int kReplicas = 3;
constexpr int kForwarders = 2;
constexpr int kClientsOfEach = 15;

constexpr double kRequestIntervalMs = 300;
constexpr double kDeadlineMs = 1'000;
constexpr double kConfigMs = 2'000;

// Limits before and after the change, and the body of the requests that only the second allows.
constexpr std::uint64_t kLowLimit = 64U << 10U;
constexpr std::uint64_t kHighLimit = 256U << 10U;
constexpr std::size_t kSmallBody = 600;
constexpr std::size_t kLargeBody = 100U << 10U;

// Allowed by the rule: this many, and one in so many of all requests.
constexpr int kTolerated = 5;
constexpr int kToleratedOf = 500;

}  // namespace

int RunRaisedLimit(bool with_trouble) {
  const TemporaryFolder folder;
  // Its threads outlive the case.
  Store& store = *new Store;
  store.Put("op/config", Configuration(3, with_trouble ? kLowLimit : kHighLimit));
  std::vector<std::unique_ptr<Process>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    const std::string id = "i-" + std::to_string(i + 1);
    replicas.push_back(std::make_unique<Process>(
        std::vector<std::string>{OwnProgram(), "replica", "--id", id, "--service", "api", "--store",
                                 std::to_string(store.port()), "--slots", "6", "--work", "15"},
        [id](const std::string& line) { Record("replica " + id + ": " + line); }, ""));
  }
  SleepMs(500);
  std::vector<std::unique_ptr<Forwarder>> forwarders;
  for (int i = 0; i < kForwarders; ++i) {
    forwarders.push_back(
        std::make_unique<Forwarder>("front-" + std::to_string(i), store.port(), folder.path()));
    forwarders.back()->Start();
  }
  for (const auto& forwarder : forwarders) {
    if (!forwarder->WaitReady(5'000)) {
      Record("a forwarder does not get ready");
      return kCouldNotRun;
    }
  }
  std::atomic<bool> stops{false};
  std::atomic<std::size_t> body_bytes{kSmallBody};
  std::atomic<int> asked{0};
  std::atomic<int> denied{0};
  std::atomic<int> failed_before{0};
  std::vector<std::thread> threads;
  for (const auto& forwarder : forwarders) {
    for (int i = 0; i < kClientsOfEach; ++i) {
      threads.emplace_back([&, port = forwarder->port(), i] {
        SleepMs(kRequestIntervalMs / kClientsOfEach * i);
        std::unique_ptr<Connection> connection;
        while (!stops) {
          if (!connection) {
            connection = std::make_unique<Connection>(Connect(port, 1000));
          }
          const std::size_t bytes = body_bytes;
          const ClientRequest request{.target = "/confirm/booking",
                                      .id = NewId(),
                                      .key = "key1",
                                      .deadline_ms = kDeadlineMs,
                                      .body = std::string(bytes, 'x')};
          Message answer;
          ++asked;
          const bool is_complete =
              connection->Write(RequestText(request)) &&
              connection->ReadHead(answer, NowMs() + kDeadlineMs) == ReadResult::kData &&
              connection->ReadBody(answer, NowMs() + kDeadlineMs) == ReadResult::kData;
          const int status = is_complete ? answer.Status() : 0;
          Record("client: " + request.id + " with " + std::to_string(bytes) + " bytes gets " +
                 std::to_string(status));
          const bool is_own = answer.Find("X-Wagtailwind-Replica-Seal").empty();
          if (bytes == kSmallBody) {
            failed_before += status == 200 ? 0 : 1;
          } else if (is_own && status >= 400 && status < 500 && status != 408 && status != 421 &&
                     status != 429) {
            ++denied;
          }
          if (!is_complete || answer.Find("Connection") == "close") {
            connection.reset();
          }
          SleepMs(kRequestIntervalMs);
        }
      });
    }
  }
  SleepMs(4'000);
  if (with_trouble) {
    store.Put("op/config", Configuration(7, kHighLimit));
    Record(
        "DISRUPTION config_change: the store has acknowledged a configuration that raises "
        "MaxBodyBytes");
  }
  SleepMs(kConfigMs + 1'000);
  Record("clients send larger bodies from now on");
  body_bytes = kLargeBody;
  SleepMs(5'000);
  stops = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  Record("requests with small bodies without a success: " + std::to_string(failed_before));
  Record("proper requests that were ended with a 4xx of the forwarder's own: " +
         std::to_string(denied) + " of " + std::to_string(asked));
  return denied > kTolerated + asked / kToleratedOf ? kBroken : kHeld;
}

}  // namespace review
