#include <algorithm>
#include <atomic>
#include <chrono>
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
constexpr int kCrashes = 3;

// Time between the requests of the client of one forwarder: a quiet time of the day.
constexpr double kRequestIntervalMs = 2'900;
constexpr double kDeadlineMs = 2'500;

// Time from the arrival of a prompt to its first event, and until the replica crashes.
constexpr double kFirstEventMs = 350;
constexpr double kCrashAfterMs = 120;

// Time for which a crashed replica is down, and between the crashes.
constexpr double kDownMs = 4'500;
constexpr double kCrashIntervalMs = 9'000;

// Time for which the forwarders are down in the final fault, and RecoverS.
constexpr double kFinalDownMs = 800;
constexpr double kRecoverMs = 12'000;
constexpr double kJudgedMs = 24'000;

/// Replicas of the model, the requests that have arrived at them, and what has run.
class Pool {
 public:
  explicit Pool(std::uint16_t store) : m_store(store), m_replicas(kReplicas) {}

  void Start(int index) {
    Slot& slot = m_replicas[static_cast<std::size_t>(index)];
    slot.id = "i-" + std::to_string(++m_started);
    slot.process = std::make_unique<Process>(
        std::vector<std::string>{OwnProgram(), "replica", "--id", slot.id, "--service", "llm",
                                 "--store", std::to_string(m_store), "--slots", "32", "--work",
                                 std::to_string(kFirstEventMs), "--events", "20", "--gap", "20"},
        [this, index, id = slot.id](const std::string& line) { OnLine(index, id, line); }, "");
    Record("replica " + slot.id + " starts");
  }

  /// Crashes the replica at which the next request of one client arrives while that waits for its
  /// first event. Returns the index of the replica; -1 if no request comes.
  [[nodiscard]] int CrashOnNextRequest(const std::string& target) {
    {
      const std::lock_guard lock(m_mutex);
      m_awaited = target;
      m_arrived_at = -1;
    }
    for (const double end = NowMs() + 8'000; NowMs() < end; SleepMs(2)) {
      if (const int index = m_arrived_at; index >= 0) {
        SleepMs(kCrashAfterMs);
        Slot& slot = m_replicas[static_cast<std::size_t>(index)];
        Record("DISRUPTION srv_crash: replica " + slot.id + " crashes");
        slot.process->Command("crash");
        return index;
      }
    }
    return -1;
  }

 private:
  struct Slot {
    std::string id;
    std::unique_ptr<Process> process;
  };

  void OnLine(int index, const std::string& id, const std::string& line) {
    Record("replica " + id + ": " + line);
    const std::lock_guard lock(m_mutex);
    if (!m_awaited.empty() && line.starts_with("arrive ") && line.ends_with(m_awaited)) {
      m_awaited.clear();
      m_arrived_at = index;
    }
  }

  std::uint16_t m_store;
  std::vector<Slot> m_replicas;
  int m_started = 0;
  std::mutex m_mutex;
  std::string m_awaited;
  std::atomic<int> m_arrived_at{-1};
};

struct Served {
  double sent_at;
  bool is_served;
};

/// Client of one forwarder: a chat a time, each with the deployment's first part, a part of its own
/// and a part of the request. A failed request is tried once more, as its answer allows.
class Client {
 public:
  Client(std::string name, std::uint16_t port) : m_name(std::move(name)), m_port(port) {}

  void Run(const std::atomic<bool>& stops) {
    for (double next = NowMs(); !stops; next += kRequestIntervalMs) {
      SleepMs(std::max(next - NowMs(), 0.0));
      const int chat = m_chats++;
      ClientRequest request{
          .target = "/summary/" + m_name, .id = NewId(), .key = "key1", .deadline_ms = kDeadlineMs};
      request.headers = {{"X-Wagtailwind-Model", "m"},
                         {"X-Wagtailwind-Token-Counts", "11800,150"},
                         {"X-Wagtailwind-Prefix-Hash",
                          "5c1e07a2:512," + Part(1, chat) + ":10000," + Part(2, chat) + ":1300"}};
      const double sent_at = NowMs();
      ClientAnswer answer = Send(m_port, request);
      const double left = sent_at + kDeadlineMs - NowMs();
      const std::string after = answer.message.Find("Retry-After");
      const double wait = after.empty() ? 0 : std::stod(after) * 1000;
      if (!IsServed(answer) && wait <= left / 3) {
        SleepMs(wait);
        request.id = NewId();
        request.deadline_ms = sent_at + kDeadlineMs - NowMs();
        answer = Send(m_port, request);
      }
      const std::lock_guard lock(m_mutex);
      m_served.push_back({.sent_at = sent_at, .is_served = IsServed(answer)});
    }
  }

  /// Adds the requests that were sent in a span.
  void Count(double from, double to, int& asked, int& served) {
    const std::lock_guard lock(m_mutex);
    for (const Served& entry : m_served) {
      if (entry.sent_at >= from && entry.sent_at < to) {
        ++asked;
        served += entry.is_served ? 1 : 0;
      }
    }
  }

 private:
  [[nodiscard]] static bool IsServed(const ClientAnswer& answer) {
    return answer.status == 200 && answer.complete &&
           !answer.message.Find("X-Wagtailwind-Replica-Seal").empty();
  }

  [[nodiscard]] std::string Part(int kind, int chat) const {
    char text[32];
    std::snprintf(text, sizeof(text), "%x%02x%05x", kind, m_name.back(), chat);
    return text;
  }

  std::string m_name;
  std::uint16_t m_port;
  int m_chats = 0;
  std::mutex m_mutex;
  std::vector<Served> m_served;
};

}  // namespace

int RunCrashesBeforeFinalFault(bool with_trouble) {
  const TemporaryFolder folder;
  // Its threads outlive the case.
  Store& store = *new Store;
  store.Put("op/config", Configuration(3));
  Pool pool(store.port());
  for (int i = 0; i < kReplicas; ++i) {
    pool.Start(i);
  }
  SleepMs(500);
  std::vector<std::unique_ptr<Forwarder>> forwarders;
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kForwarders; ++i) {
    const std::string letter(1, static_cast<char>('a' + i));
    forwarders.push_back(
        std::make_unique<Forwarder>("front-" + letter, store.port(), folder.path()));
    forwarders.back()->Start();
    clients.push_back(std::make_unique<Client>(letter, forwarders.back()->port()));
  }
  for (const auto& forwarder : forwarders) {
    if (!forwarder->WaitReady(5'000)) {
      Record("a forwarder does not get ready");
      return kCouldNotRun;
    }
  }
  std::atomic<bool> stops{false};
  std::vector<std::thread> threads;
  const double traffic_from = NowMs();
  for (const auto& client : clients) {
    threads.emplace_back([&stops, &client] { client->Run(stops); });
    SleepMs(kRequestIntervalMs / 2);
  }
  SleepMs(4'000);
  for (int crash = 0; crash < kCrashes; ++crash) {
    const double next = NowMs() + kCrashIntervalMs;
    if (with_trouble) {
      // The clients of the forwarders in turn.
      const int index = pool.CrashOnNextRequest(std::string("/summary/") +
                                                static_cast<char>('a' + crash % kForwarders));
      if (index < 0) {
        Record("no request arrived");
        return kCouldNotRun;
      }
      SleepMs(kDownMs);
      pool.Start(index);
    }
    SleepMs(std::max(next - NowMs(), 0.0));
  }
  SleepMs(3'000);
  const double fault_at = NowMs();
  store.Put("op/config", Configuration(7));
  if (with_trouble) {
    for (const std::string& key : store.Keys("wagtailwind/crashes/")) {
      Record("store holds " + key);
    }
    for (const auto& forwarder : forwarders) {
      forwarder->Kill();
    }
    Record("DISRUPTION final fault: all forwarders are killed");
    SleepMs(kFinalDownMs);
    for (const auto& forwarder : forwarders) {
      forwarder->Start();
    }
    Record("all forwarders are back");
  }
  const double back_at = NowMs();
  SleepMs(kRecoverMs + kJudgedMs);
  stops = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  int asked_before = 0;
  int served_before = 0;
  int asked = 0;
  int served = 0;
  for (const auto& client : clients) {
    client->Count(traffic_from, fault_at, asked_before, served_before);
    client->Count(back_at + kRecoverMs, back_at + kRecoverMs + kJudgedMs, asked, served);
  }
  Record("served before the final fault: " + std::to_string(served_before) + " of " +
         std::to_string(asked_before));
  Record("served of the requests that were sent later than RecoverS after: " +
         std::to_string(served) + " of " + std::to_string(asked));
  if (asked < 8 || served_before * 4 < asked_before) {
    return kCouldNotRun;
  }
  return served * 4 < asked ? kBroken : kHeld;
}

}  // namespace review
