#include <atomic>
#include <cstdio>
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

constexpr int kReplicas = 4;
constexpr int kForwarders = 2;
constexpr const char* kPoison = "bad0c0de";

// Time between the requests of each client, and between the harmful ones.
constexpr double kRequestIntervalMs = 250;
constexpr double kPoisonIntervalMs = 1'500;
constexpr double kDeadlineMs = 2'500;

// Time for which a crashed replica is down.
constexpr double kDownMs = 3'000;

constexpr double kContactMs = 3'000;
constexpr double kTroubleMs = 30'000;
constexpr int kFreeCrashes = 5;
constexpr int kTolerated = 3;

/// Replicas that are started again after a crash.
class Pool {
 public:
  explicit Pool(std::uint16_t store) : m_store(store), m_slots(kReplicas) {}

  /// Starts what is due; called by the thread that owns the processes.
  void Tick() {
    for (Slot& slot : m_slots) {
      if (slot.process && slot.process->HasEnded()) {
        slot.process.reset();
        slot.due_at = NowMs() + kDownMs;
      }
      if (!slot.process && NowMs() >= slot.due_at) {
        slot.id = "i-" + std::to_string(++m_started);
        slot.process = std::make_unique<Process>(
            std::vector<std::string>{OwnProgram(),
                                     "replica",
                                     "--id",
                                     slot.id,
                                     "--service",
                                     "llm",
                                     "--store",
                                     std::to_string(m_store),
                                     "--slots",
                                     "32",
                                     "--work",
                                     "40",
                                     "--events",
                                     "20",
                                     "--gap",
                                     "15",
                                     "--poison",
                                     kPoison,
                                     "--poisoned-events",
                                     "1"},
            [this, id = slot.id](const std::string& line) { OnLine(id, line); }, "");
        Record("replica " + slot.id + " starts");
      }
    }
  }

  [[nodiscard]] int Crashes() const { return m_crashes; }
  /// Time of the fifth crash; negative before it.
  [[nodiscard]] double FifthCrashAt() const { return m_fifth_at; }
  /// Harmful requests that reached replicas later than ContactMs after the fifth crash.
  [[nodiscard]] int LateArrivals() const { return m_late; }

 private:
  struct Slot {
    std::string id;
    std::unique_ptr<Process> process;
    double due_at = 0;
  };

  void OnLine(const std::string& id, const std::string& line) {
    Record("replica " + id + ": " + line);
    if (line.starts_with("crash ") && ++m_crashes == kFreeCrashes) {
      m_fifth_at = NowMs();
      Record("this was the fifth crash");
    }
    if (line.starts_with("arrive ") && line.ends_with("/poison") && m_fifth_at >= 0 &&
        NowMs() > m_fifth_at + kContactMs) {
      ++m_late;
    }
  }

  std::uint16_t m_store;
  std::vector<Slot> m_slots;
  int m_started = 0;
  std::atomic<int> m_crashes{0};
  std::atomic<double> m_fifth_at{-1};
  std::atomic<int> m_late{0};
};

std::string Part(int kind, int number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%x%07x", kind, number);
  return text;
}

ClientRequest MakePrompt(const std::string& target, const std::string& own_part, int number) {
  ClientRequest request{.target = target, .id = NewId(), .key = "key1", .deadline_ms = kDeadlineMs};
  request.headers = {{"X-Wagtailwind-Model", "m"},
                     {"X-Wagtailwind-Token-Counts", "3800,150"},
                     {"X-Wagtailwind-Prefix-Hash",
                      "5c1e07a2:512," + own_part + ":2000," + Part(2, number) + ":1300"}};
  return request;
}

}  // namespace

int RunPoisonedPrompts(bool with_trouble) {
  const TemporaryFolder folder;
  // Its threads outlive the case.
  Store& store = *new Store;
  store.Put("op/config", Configuration(3));
  Pool pool(store.port());
  pool.Tick();
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
  std::atomic<int> served{0};
  std::atomic<int> asked{0};
  std::vector<std::thread> threads;
  for (const auto& forwarder : forwarders) {
    threads.emplace_back([&, port = forwarder->port(), client = static_cast<int>(threads.size())] {
      for (int number = 0; !stops; ++number) {
        const ClientAnswer answer =
            Send(port, MakePrompt("/summary/sound", Part(1, number % 40), client << 16 | number));
        ++asked;
        served += answer.status == 200 && answer.complete ? 1 : 0;
        SleepMs(kRequestIntervalMs);
      }
    });
  }
  // The answer of a harmful request may take its whole deadline.
  std::vector<std::thread> harmful;
  const double from = NowMs() + 5'000;
  double next = from;
  for (int number = 0; NowMs() < from + kTroubleMs; SleepMs(5)) {
    pool.Tick();
    if (with_trouble && NowMs() >= next) {
      next += kPoisonIntervalMs;
      Record("DISRUPTION: a prompt with the harmful part is sent");
      harmful.emplace_back(
          [port = forwarders[static_cast<std::size_t>(number % kForwarders)]->port(), number] {
            (void)Send(port, MakePrompt("/summary/poison", kPoison, 0x100000 + number));
          });
      ++number;
    }
  }
  stops = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (std::thread& thread : harmful) {
    thread.join();
  }
  Record("sound requests: " + std::to_string(served) + " of " + std::to_string(asked) + " served");
  Record(std::to_string(pool.Crashes()) +
         " crashes; harmful requests that reached replicas later than ContactMs after the fifth: " +
         std::to_string(pool.LateArrivals()));
  if (!with_trouble && served * 10 < asked * 9) {
    return kCouldNotRun;
  }
  return pool.LateArrivals() > kTolerated ? kBroken : kHeld;
}

}  // namespace review
