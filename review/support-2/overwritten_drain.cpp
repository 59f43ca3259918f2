#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
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
constexpr int kClientsOfEach = 3;

constexpr double kRequestIntervalMs = 30;
constexpr double kDeadlineMs = 1'000;
constexpr double kDrainMs = 2'000;
// The replica goes on for a while after DrainMs, and then exits.
constexpr double kLingerMs = 3'000;
// Time between the entries that the other writer leaves.
constexpr double kWriteIntervalMs = 700;

}  // namespace

int RunOverwrittenDrain(bool with_trouble) {
  const TemporaryFolder folder;
  // Its threads outlive the case.
  Store& store = *new Store;
  store.Put("op/config", Configuration(3));
  std::atomic<double> drained_at{-1};
  std::atomic<int> late{0};
  std::atomic<int> lost{0};
  std::vector<std::unique_ptr<Process>> replicas;
  std::atomic<std::uint16_t> port_of_leaving{0};
  for (int i = 0; i < kReplicas; ++i) {
    const std::string id = "i-" + std::to_string(i + 1);
    replicas.push_back(std::make_unique<Process>(
        std::vector<std::string>{OwnProgram(), "replica", "--id", id, "--service", "api", "--store",
                                 std::to_string(store.port()), "--slots", "6", "--work", "15"},
        [&, id, i](const std::string& line) {
          Record("replica " + id + ": " + line);
          if (i == 0 && line.starts_with("listening ")) {
            port_of_leaving = static_cast<std::uint16_t>(std::stoi(line.substr(10)));
          }
          if (i == 0 && line.starts_with("arrive ") && drained_at >= 0 &&
              NowMs() > drained_at + kDrainMs) {
            ++late;
          }
        },
        ""));
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
  std::vector<std::thread> threads;
  for (const auto& forwarder : forwarders) {
    for (int i = 0; i < kClientsOfEach; ++i) {
      threads.emplace_back([&, port = forwarder->port()] {
        while (!stops) {
          const ClientAnswer answer = Send(port, {.target = "/confirm/booking",
                                                  .id = NewId(),
                                                  .key = "key1",
                                                  .deadline_ms = kDeadlineMs});
          lost += answer.status != 200 ? 1 : 0;
          SleepMs(kRequestIntervalMs);
        }
      });
    }
  }
  SleepMs(5'000);
  replicas[0]->Command("drain");
  SleepMs(100);
  drained_at = NowMs();
  Record("the store has acknowledged that replica i-1 drains");
  const std::string odd = nlohmann::json{{"Service", "api"}, {"Addr", Address(port_of_leaving)},
                                         {"Zone", "a"},      {"Version", "v1"},
                                         {"Slots", 6},       {"State", "ready"},
                                         {"ColdLeftMs", 0},  {"Seq", 1}}
                              .dump();
  const double end = drained_at + kDrainMs + kLingerMs;
  for (double next = drained_at + 500; NowMs() < end; SleepMs(10)) {
    if (with_trouble && NowMs() >= next) {
      next += kWriteIntervalMs;
      store.Put("servers/i-1", odd);
      Record("DISRUPTION: another writer leaves an entry without `born` at servers/i-1");
    }
  }
  store.Remove("servers/i-1");
  replicas[0]->Kill();
  Record("replica i-1 has exited");
  SleepMs(1'000);
  stops = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  Record("bookings without a success: " + std::to_string(lost));
  Record("requests that reached i-1 later than DrainMs after the acknowledgement: " +
         std::to_string(late));
  return late > 0 ? kBroken : kHeld;
}

}  // namespace review
