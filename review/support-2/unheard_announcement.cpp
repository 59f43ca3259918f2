#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
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
constexpr int kClientsOfEach = 12;
constexpr const char* kLeaving = "i-1";

// Time to the first event: the replicas are busy.
constexpr double kFirstEventMs = 1'600;
constexpr double kRequestIntervalMs = 100;
constexpr double kDeadlineMs = 6'000;
constexpr double kDrainMs = 2'000;
constexpr double kStoreDownMs = 4'500;

/// What clients and the leaving replica see.
class Judge {
 public:
  void OnSent(const std::string& id, std::size_t forwarder) {
    const std::lock_guard lock(m_mutex);
    m_sent[id] = {forwarder, NowMs()};
  }

  /// A forwarder has passed on an answer that announces the leaving.
  void OnAnnounced(std::size_t forwarder, double at) {
    const std::lock_guard lock(m_mutex);
    if (m_announced[forwarder] < 0) {
      m_announced[forwarder] = at;
      Record("forwarder " + std::to_string(forwarder) + " has passed on Server-Leaving of " +
             kLeaving);
    }
  }

  void OnArrival(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_sent.find(id);
    if (found == m_sent.end()) {
      return;
    }
    const auto& [forwarder, sent_at] = found->second;
    if (m_announced[forwarder] >= 0 && sent_at > m_announced[forwarder] + kDrainMs) {
      ++late;
      Record("LATE: " + id + " reaches " + kLeaving);
    }
  }

  int late = 0;

 private:
  std::mutex m_mutex;
  std::map<std::string, std::pair<std::size_t, double>> m_sent;
  std::array<double, kForwarders> m_announced{-1, -1};
};

}  // namespace

int RunUnheardAnnouncement(bool with_trouble) {
  const TemporaryFolder folder;
  // Its threads outlive the case.
  Store& store = *new Store;
  store.Put("op/config", Configuration(3));
  Judge judge;
  std::vector<std::unique_ptr<Process>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    const std::string id = "i-" + std::to_string(i + 1);
    replicas.push_back(std::make_unique<Process>(
        std::vector<std::string>{OwnProgram(), "replica", "--id", id, "--service", "llm", "--store",
                                 std::to_string(store.port()), "--slots", "32", "--work",
                                 std::to_string(kFirstEventMs), "--events", "5", "--gap", "20"},
        [&judge, id](const std::string& line) {
          Record("replica " + id + ": " + line);
          if (id == kLeaving && line.starts_with("arrive ")) {
            judge.OnArrival(line.substr(7, line.find(' ', 7) - 7));
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
  for (std::size_t f = 0; f < forwarders.size(); ++f) {
    for (int i = 0; i < kClientsOfEach; ++i) {
      threads.emplace_back([&, f, i] {
        SleepMs(137.0 * i);
        for (int number = 0; !stops; ++number) {
          ClientRequest request{.target = "/note/" + std::to_string(f),
                                .id = NewId(),
                                .key = "key1",
                                .deadline_ms = kDeadlineMs};
          // Chats of many subjects, so that all replicas have a part of them.
          char part[32];
          std::snprintf(part, sizeof(part), "%x%02x%05x", 1, i, number);
          request.headers = {{"X-Wagtailwind-Model", "m"},
                             {"X-Wagtailwind-Token-Counts", "830,130"},
                             {"X-Wagtailwind-Prefix-Hash",
                              "5c1e07a2:119," + std::string(part) + ":580,f" + part + ":130"}};
          judge.OnSent(request.id, f);
          const ClientAnswer answer = Send(forwarders[f]->port(), request);
          if (answer.message.Find("Server-Leaving") == "1") {
            judge.OnAnnounced(f, answer.ended_at);
          }
          SleepMs(kRequestIntervalMs);
        }
      });
    }
  }
  SleepMs(6'000);
  const std::string key = std::string("servers/") + kLeaving;
  if (with_trouble) {
    const std::string odd = "\xff\xfe no entry";
    store.Put(key, odd);
    Record("DISRUPTION: another writer leaves bytes that can't be read at " + key);
    while (store.Get(key) == odd) {
      SleepMs(5);
    }
    Record(std::string(kLeaving) + " has written its entry again with its heartbeat");
    SleepMs(100);
    store.SetMode(Store::Mode::kSilent);
    Record("DISRUPTION platform_down: the store is silent");
  }
  replicas[0]->Command("announce");
  replicas[0]->Command("drain");
  Record(std::string(kLeaving) + " leaves; all its answers say so from now on");
  SleepMs(kStoreDownMs);
  if (with_trouble) {
    store.SetMode(Store::Mode::kUp);
    Record("the store is back");
  }
  SleepMs(2'000);
  stops = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  Record("requests that reached " + std::string(kLeaving) +
         " though they were sent to a forwarder later than DrainMs after it had passed on the "
         "announcement: " +
         std::to_string(judge.late));
  return judge.late > 0 ? kBroken : kHeld;
}

}  // namespace review
