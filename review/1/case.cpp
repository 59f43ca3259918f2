// Some replicas send a body without end as the answer to a request that may run only once, and some
// callers leave before their deadline. Guards against a forwarder that crashes when both meet, and
// so closes the connections of requests that other, sound replicas are working on.

#include <signal.h>
#include <sys/wait.h>

#include <array>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "support/lab.hpp"

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr auto kRunTime = 100s;
constexpr auto kRestartDelay = 500ms;

// Rule LOST: more than three requests.
constexpr int kToleratedLosses = 3;

// Largest dose of `garble` in the site file: 0.6 of a service's replicas, 0.05 of their answers.
constexpr int kBookingReplicas = 4;
constexpr int kReplicasInTrouble = 2;
constexpr double kTroubleShare = 0.05;

// Below the bandwidth of a forwarder's link, which is 700 Mbit/s.
constexpr std::size_t kEndlessPartBytes = 16U << 10U;
constexpr auto kEndlessPartGap = 1ms;

// Largest share of callers for `give_up` in the site file. Its largest time is 1,500 ms.
constexpr double kLeavingShare = 0.3;
constexpr Milliseconds kLeavingTime = 500ms;

constexpr int kPromptReplicas = 3;
constexpr auto kFirstEventTime = 120ms;
constexpr auto kEventGap = 25ms;
constexpr int kEvents = 42;

// A quarter of the site's traffic for a quarter of its forwarders.
constexpr int kForwarders = 2;
constexpr int kCallers = 60;
constexpr auto kMeanPause = 300ms;
constexpr double kBookingWeight = 46.1 / (46.1 + 47.3);

constexpr std::string_view kHost = "trays.example";
constexpr std::string_view kKey = "n2ctnfzs989anu6wsjnb";

enum class Result { kAnswered, kLeft, kClosedWithoutAnswer, kClosedInAnswer };

class Case {
 public:
  Case(std::string program, std::string settings_template, std::string folder,
       const std::string& record, bool trouble)
      : m_program(std::move(program)),
        m_template(std::move(settings_template)),
        m_folder(std::move(folder)),
        m_record(record),
        m_trouble(trouble) {}

  ExitCode Run();

 private:
  struct Replica {
    std::string name;
    bool in_trouble = false;
    std::unique_ptr<Server> server;
  };

  void AddReplica(const std::string& service, int number, bool has_prompt, bool in_trouble);
  void Serve(const Replica& replica, bool has_prompt, Connection connection);
  void SendEndless(Connection& connection, const std::string& head);
  void Call(std::size_t caller);
  void Judge(std::size_t forwarder, const std::string& id, bool kept, Result result,
             Connection::End end, int status);
  [[nodiscard]] bool Draw(double share);

  const std::string m_program;
  const std::string m_template;
  const std::string m_folder;
  Record m_record;
  const bool m_trouble;

  Store m_store;
  std::vector<std::unique_ptr<Replica>> m_replicas;
  std::vector<std::unique_ptr<Forwarder>> m_forwarders;
  std::atomic<bool> m_stopping = false;
  std::atomic<std::uint64_t> m_last_id = 0;
  std::atomic<int> m_answered = 0;

  std::mutex m_mutex;
  std::mt19937 m_random{std::random_device{}()};
  /// Requests by id that a sound replica runs or has run.
  std::set<std::string> m_at_sound_replica;
  std::array<int, kForwarders> m_losses{};
  std::array<int, kForwarders> m_ends{};
};

bool Case::Draw(double share) {
  const std::lock_guard lock(m_mutex);
  return std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

void Case::AddReplica(const std::string& service, int number, bool has_prompt, bool in_trouble) {
  auto replica = std::make_unique<Replica>();
  replica->name = "i-" + service + "-" + std::to_string(number);
  replica->in_trouble = in_trouble;
  replica->server =
      std::make_unique<Server>([this, has_prompt, added = replica.get()](Connection connection) {
        Serve(*added, has_prompt, std::move(connection));
      });
  constexpr std::int64_t kBorn = 1'790'000'000'000;
  m_store.Put("servers/" + replica->name, EncodeReplica(service, replica->server->Address(),
                                                        number % 2 == 0 ? "colombo-a" : "colombo-b",
                                                        has_prompt ? 32 : 6, kBorn));
  m_replicas.push_back(std::move(replica));
}

void Case::SendEndless(Connection& connection, const std::string& head) {
  const std::string bytes(kEndlessPartBytes, '#');
  const std::string chunk = "4000\r\n" + bytes + "\r\n";
  const Time end = Steady::now() + 30s;
  if (!connection.Send(head + "Transfer-Encoding: chunked\r\n\r\n", end)) {
    return;
  }
  while (connection.Send(chunk, end) && Steady::now() < end) {
    std::this_thread::sleep_for(kEndlessPartGap);
  }
}

void Case::Serve(const Replica& replica, bool has_prompt, Connection connection) {
  while (true) {
    std::optional<Message> request = connection.ReadHead(Steady::now() + 60s);
    if (!request || !connection.ReadBody(*request, Steady::now() + 5s)) {
      return;
    }
    const std::string id(request->Header("X-Wagtailwind-Attempt-Id"));
    const bool endless = !has_prompt && replica.in_trouble && m_trouble && Draw(kTroubleShare);
    if (!replica.in_trouble) {
      const std::lock_guard lock(m_mutex);
      m_at_sound_replica.insert(id);
    }
    m_record.Write("run " + id + " at " + replica.name + (endless ? ", answer without end" : ""));
    const std::string head = "HTTP/1.1 200 OK\r\nX-Wagtailwind-Attempt-Id: " + id +
                             "\r\nX-Wagtailwind-Replica-Seal: " + replica.name + "." + id + "\r\n";
    const Time end = Steady::now() + 15s;
    if (endless) {
      SendEndless(connection, head);
      return;
    }
    if (!has_prompt) {
      std::this_thread::sleep_for(15ms);
      const std::string body(800, 'b');
      if (!connection.Send(head + "Content-Length: 800\r\n\r\n" + body, end)) {
        return;
      }
      continue;
    }
    std::this_thread::sleep_for(kFirstEventTime);
    bool sent = connection.Send(
        head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", end);
    for (int event = 1; sent && event <= kEvents; ++event) {
      const std::string text =
          "id: " + std::to_string(event) + "\ndata: " + id + " " + std::to_string(event) + "\n\n";
      std::array<char, 16> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
      sent = connection.Send(size.data() + text + "\r\n", end);
      std::this_thread::sleep_for(kEventGap);
    }
    if (!sent || !connection.Send("0\r\n\r\n", end)) {
      return;
    }
  }
}

void Case::Judge(std::size_t forwarder, const std::string& id, bool kept, Result result,
                 Connection::End end, int status) {
  const std::lock_guard lock(m_mutex);
  const bool sound = m_at_sound_replica.contains(id);
  switch (result) {
    case Result::kAnswered:
      ++m_answered;
      m_record.Write("answer " + id + " " + std::to_string(status));
      return;
    case Result::kLeft:
      m_record.Write("caller leaves " + id);
      return;
    case Result::kClosedInAnswer:
      m_record.Write("closed inside the answer " + id + " (" + std::string(ToText(end)) + ")");
      return;
    case Result::kClosedWithoutAnswer:
      m_record.Write("closed without an answer " + id + " (" + std::string(ToText(end)) + ")" +
                     (kept ? ", kept connection" : ", new connection") +
                     (sound ? ", runs at a sound replica" : ""));
      m_losses[forwarder] += kept && sound ? 1 : 0;
      return;
  }
}

void Case::Call(std::size_t caller) {
  const std::size_t index = caller % kForwarders;
  const std::uint16_t port = m_forwarders[index]->port();
  std::mt19937 random(static_cast<unsigned>(caller) + 1);
  std::exponential_distribution<> pause(1.0 / std::chrono::duration<double>(kMeanPause).count());
  std::uniform_real_distribution<> share(0, 1);
  Connection connection(-1);
  bool kept = false;
  const bool leaves = m_trouble && static_cast<double>(caller) < kLeavingShare * kCallers;
  while (!m_stopping) {
    std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
    if (m_stopping) {
      return;
    }
    if (!connection.IsOpen()) {
      connection = Connection::Open(port);
      kept = false;
      if (!connection.IsOpen()) {
        std::this_thread::sleep_for(100ms);
        continue;
      }
    }
    const bool books = share(random) < kBookingWeight;
    const Milliseconds deadline = books ? 1'000ms : 10'000ms;
    const std::string id = "req" + std::to_string(++m_last_id);
    std::string request = "POST " + std::string(books ? "/book/2f" : "/note/2f") +
                          " HTTP/1.1\r\nHost: " + std::string(kHost) +
                          "\r\nX-Wagtailwind-Attempt-Id: " + id +
                          "\r\nX-Wagtailwind-Deadline-Ms: " + std::to_string(deadline.count()) +
                          "\r\nApi-Key: " + std::string(kKey) + "\r\n";
    if (!books) {
      request +=
          "X-Wagtailwind-Model: m\r\nX-Wagtailwind-Token-Counts: 829,294\r\n"
          "X-Wagtailwind-Prefix-Hash: 5c1e07a2:699," +
          id.substr(3) + ":130\r\n";
    }
    const std::string body(600, 'q');
    request += "Content-Length: 600\r\n\r\n" + body;
    const Time end = Steady::now() + (leaves ? std::min(deadline, kLeavingTime) : deadline);
    m_record.Write("send " + id + (books ? " booking" : " note") + " to " +
                   m_forwarders[index]->name());
    (void)connection.TakeHadBytes();
    std::optional<Message> answer;
    bool complete = false;
    if (connection.Send(request, end)) {
      answer = connection.ReadHead(end);
      complete = answer && connection.ReadBody(*answer, end);
    }
    if (m_stopping) {
      return;
    }
    const bool had_bytes = connection.TakeHadBytes();
    const bool left = !complete && connection.end() == Connection::End::kTimedOut;
    const Result result = complete    ? Result::kAnswered
                          : left      ? Result::kLeft
                          : had_bytes ? Result::kClosedInAnswer
                                      : Result::kClosedWithoutAnswer;
    Judge(index, id, kept, result, connection.end(), answer ? answer->Status() : 0);
    if (!complete || answer->Header("Connection") == "close") {
      connection.Close();
    }
    kept = true;
  }
}

ExitCode Case::Run() {
  m_store.Put("op/config", EncodeConfiguration(7, std::string(kHost),
                                               {{.name = "r-book",
                                                 .prefix = "/book/",
                                                 .kind = "non_idempotent",
                                                 .service = "returns-api",
                                                 .timeout_ms = 1'000,
                                                 .objective_ms = 100},
                                                {.name = "r-note",
                                                 .prefix = "/note/",
                                                 .kind = "stream",
                                                 .service = "wagtail-llm",
                                                 .timeout_ms = 10'000,
                                                 .objective_ms = 300,
                                                 .has_prompt = true}},
                                               "hule930", std::string(kKey)));
  for (int i = 0; i < kBookingReplicas; ++i) {
    AddReplica("returns-api", i, false, i < kReplicasInTrouble);
  }
  for (int i = 0; i < kPromptReplicas; ++i) {
    AddReplica("wagtail-llm", i, true, false);
  }
  for (int i = 0; i < kForwarders; ++i) {
    m_forwarders.push_back(std::make_unique<Forwarder>(
        m_program, m_template, m_folder, "front-" + std::to_string(i + 1),
        i % 2 == 0 ? "colombo-a" : "colombo-b", m_store.Address()));
    m_forwarders.back()->Start();
  }
  for (const auto& forwarder : m_forwarders) {
    if (!forwarder->WaitUntilReady(10s)) {
      std::cerr << forwarder->name() << " does not get ready\n";
      return kNotRun;
    }
  }
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([this, i] { Call(i); });
  }
  const Time end = Steady::now() + kRunTime;
  std::map<std::size_t, Time> restarts;
  bool broken = false;
  while (Steady::now() < end && !broken) {
    std::this_thread::sleep_for(50ms);
    for (std::size_t i = 0; i < kForwarders; ++i) {
      if (const auto due = restarts.find(i); due != restarts.end()) {
        if (Steady::now() >= due->second) {
          restarts.erase(due);
          m_forwarders[i]->Start();
        }
      } else if (const std::optional<int> status = m_forwarders[i]->PollEnd()) {
        ++m_ends[i];
        m_record.Write(m_forwarders[i]->name() + " has ended by itself, " +
                       (WIFSIGNALED(*status) ? "signal " + std::to_string(WTERMSIG(*status))
                                             : "status " + std::to_string(WEXITSTATUS(*status))));
        restarts[i] = Steady::now() + kRestartDelay;
      }
      const std::lock_guard lock(m_mutex);
      broken = broken || m_losses[i] > kToleratedLosses;
    }
  }
  m_stopping = true;
  const std::lock_guard lock(m_mutex);
  for (std::size_t i = 0; i < kForwarders; ++i) {
    m_record.Write(m_forwarders[i]->name() + ": " + std::to_string(m_losses[i]) +
                   " requests of kept connections that ran at a sound replica were closed without "
                   "an answer; the process has ended by itself " +
                   std::to_string(m_ends[i]) + " times");
  }
  m_record.Write(std::to_string(m_answered) + " requests were answered");
  m_record.Write(broken ? "LOST is broken" : "LOST has held");
  for (std::thread& caller : callers) {
    caller.detach();
  }
  m_forwarders.clear();
  if (m_answered == 0) {
    return kNotRun;
  }
  return broken ? kRuleBroken : kRuleHeld;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) {
    std::cerr << "usage: case FORWARDER TEMPLATE FOLDER RECORD\n";
    return review::kNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  // Its threads use it until the process ends.
  auto* const run = new review::Case(argv[1], argv[2], argv[3], argv[4],
                                     review::Environment("TROUBLE", "1") != "0");
  review::Finish(run->Run());
}
