// Two of a zone's three forwarders are stopped at the same time, as in a rolling stop of several at
// a time. Callers open connections ahead of their requests. Guards against a stopping forwarder
// that takes a request after the time in which it can still finish a long stream, passes it on to a
// replica, and cuts it at the end of its grace time.

#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <thread>

#include "support/lab.hpp"

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr auto kWarmUpTime = 4s;
constexpr auto kRunTime = 14s;

// Rule LOST: requests that were sent later than this after the SIGTERM have no excuse.
constexpr auto kExcusedSendTime = 3s;
constexpr auto kGrace = 8s;
constexpr auto kCountedTime = kGrace + 1s;

// Two of five machines are stopped at once, below the largest dose of `roll_term` in the site file:
// a share of 0.45, 7 at a time. The callers are those of the first zone.
constexpr int kForwarders = 5;
constexpr int kZoneForwarders = 3;
constexpr int kStopped = 2;
constexpr int kReplicas = 3;

// Half of the stream requests of the site, for the two forwarders of one zone.
constexpr auto kArrivalGap = 20ms;
// Time for which a connection that was opened ahead is idle before its first request. Callers reuse
// connections that have been idle for much longer, four fifths of 15 s.
constexpr auto kShortestWait = 300ms;
constexpr auto kLongestWait = 950ms;

// A stream as the sheet has it: 55 events, with pauses below 300 ms.
constexpr int kEvents = 55;
constexpr auto kEventGap = 110ms;
constexpr Milliseconds kDeadline = 12'000ms;

constexpr std::string_view kHost = "trays.example";
constexpr std::string_view kKey = "n2ctnfzs989anu6wsjnb";

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
  void AddReplica(int number);
  void Serve(const std::string& replica, Connection connection);
  void Call(double share_of_wait);
  /// Asks the forwarders once a second whether they are ready, as the platform does.
  void CheckReadiness();
  /// Returns the forwarder to which the platform leads a new connection.
  [[nodiscard]] std::size_t ChooseForwarder();

  const std::string m_program;
  const std::string m_template;
  const std::string m_folder;
  Record m_record;
  const bool m_trouble;

  Store m_store;
  std::vector<std::unique_ptr<Server>> m_replicas;
  std::vector<std::unique_ptr<Forwarder>> m_forwarders;
  std::atomic<bool> m_stopping = false;
  std::atomic<std::uint64_t> m_last_id = 0;
  std::atomic<int> m_complete = 0;
  std::array<std::atomic<bool>, kZoneForwarders> m_in_rotation{};

  std::mutex m_mutex;
  std::mt19937 m_random{std::random_device{}()};
  std::optional<Time> m_stopped_at;
  /// Whether a replica has broken the request's stream off by itself, by the request's id.
  std::map<std::string, bool> m_passed_on;
  int m_losses = 0;
  int m_excused = 0;
};

void Case::AddReplica(int number) {
  const std::string name = "i-" + std::to_string(number);
  m_replicas.push_back(std::make_unique<Server>(
      [this, name](Connection connection) { Serve(name, std::move(connection)); }));
  constexpr std::int64_t kBorn = 1'790'000'000'000;
  m_store.Put("servers/" + name,
              EncodeReplica("wagtail-llm", m_replicas.back()->Address(), "colombo-a", 32, kBorn));
}

void Case::Serve(const std::string& replica, Connection connection) {
  while (true) {
    std::optional<Message> request = connection.ReadHead(Steady::now() + 60s);
    if (!request || !connection.ReadBody(*request, Steady::now() + 5s)) {
      return;
    }
    const std::string id(request->Header("X-Wagtailwind-Attempt-Id"));
    {
      const std::lock_guard lock(m_mutex);
      m_passed_on[id] = true;
    }
    m_record.Write("run " + id + " at " + replica);
    const Time end = Steady::now() + 15s;
    bool sent = connection.Send("HTTP/1.1 200 OK\r\nX-Wagtailwind-Attempt-Id: " + id +
                                    "\r\nX-Wagtailwind-Replica-Seal: " + replica + "." + id +
                                    "\r\nContent-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n",
                                end);
    for (int event = 1; sent && event <= kEvents; ++event) {
      const std::string text =
          "id: " + std::to_string(event) + "\ndata: " + id + " " + std::to_string(event) + "\n\n";
      std::array<char, 16> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
      sent = connection.Send(size.data() + text + "\r\n", end);
      if (sent && connection.HasPeerLeft(Steady::now() + kEventGap)) {
        sent = false;
      }
    }
    if (!sent || !connection.Send("0\r\n\r\n", end)) {
      m_record.Write("the forwarder has closed the connection of " + id + " at " + replica);
      return;
    }
  }
}

void Case::CheckReadiness() {
  std::array<int, kZoneForwarders> misses{};
  while (!m_stopping) {
    for (std::size_t i = 0; i < kZoneForwarders; ++i) {
      misses[i] = m_forwarders[i]->WaitUntilReady(0ms) ? 0 : misses[i] + 1;
      const bool in_rotation = misses[i] < 2;
      if (in_rotation != m_in_rotation[i].exchange(in_rotation)) {
        m_record.Write(m_forwarders[i]->name() +
                       (in_rotation ? " is in rotation" : " is out of rotation"));
      }
    }
    std::this_thread::sleep_for(1s);
  }
}

std::size_t Case::ChooseForwarder() {
  std::vector<std::size_t> choices;
  for (std::size_t i = 0; i < kZoneForwarders; ++i) {
    if (m_in_rotation[i]) {
      choices.push_back(i);
    }
  }
  const std::lock_guard lock(m_mutex);
  // With fewer than half of the zone's daemons in rotation, but not none, the platform uses all of
  // them. With none, it would use another zone's.
  if (2 * choices.size() < kZoneForwarders) {
    return m_random() % kZoneForwarders;
  }
  return choices[m_random() % choices.size()];
}

void Case::Call(double share_of_wait) {
  const std::size_t index = ChooseForwarder();
  Connection connection = Connection::Open(m_forwarders[index]->port());
  if (!connection.IsOpen()) {
    return;
  }
  std::this_thread::sleep_for(kShortestWait + share_of_wait * (kLongestWait - kShortestWait));
  const std::string id = "req" + std::to_string(++m_last_id);
  const std::string body(600, 'q');
  const std::string request =
      "POST /sum/2f HTTP/1.1\r\nHost: " + std::string(kHost) +
      "\r\nX-Wagtailwind-Attempt-Id: " + id +
      "\r\nX-Wagtailwind-Deadline-Ms: " + std::to_string(kDeadline.count()) +
      "\r\nApi-Key: " + std::string(kKey) +
      "\r\nX-Wagtailwind-Model: m\r\nX-Wagtailwind-Token-Counts: 11812,385\r\n"
      "X-Wagtailwind-Prefix-Hash: 5c1e07a2:10512," +
      id.substr(3) + ":1300\r\nContent-Length: 600\r\n\r\n" + body;
  const Time sent_at = Steady::now();
  const Time end = sent_at + kDeadline;
  m_record.Write("send " + id + " to " + m_forwarders[index]->name());
  bool complete = false;
  std::optional<Message> answer;
  if (connection.Send(request, end)) {
    answer = connection.ReadHead(end);
    complete = answer && connection.ReadBody(*answer, end);
  }
  const Time ended_at = Steady::now();
  if (complete) {
    ++m_complete;
    m_record.Write("answer " + id + " " + std::to_string(answer->Status()) + ", complete");
    return;
  }
  const std::lock_guard lock(m_mutex);
  const bool passed_on = m_passed_on.contains(id);
  const bool deadline = connection.end() == Connection::End::kTimedOut;
  std::string line = "end of the connection without a complete answer " + id + " (" +
                     std::string(ToText(connection.end())) + ")" +
                     (passed_on ? ", passed on" : ", not passed on");
  if (m_stopped_at && ended_at >= *m_stopped_at && ended_at <= *m_stopped_at + kCountedTime) {
    const auto after = std::chrono::duration_cast<Milliseconds>(sent_at - *m_stopped_at);
    line += ", sent " + std::to_string(after.count()) + " ms after the SIGTERM";
    if (passed_on && !deadline) {
      const bool excused = after <= kExcusedSendTime;
      line += excused ? ", excused" : ", LOST";
      m_losses += excused ? 0 : 1;
      m_excused += excused ? 1 : 0;
    }
  }
  m_record.Write(line);
}

ExitCode Case::Run() {
  m_store.Put("op/config", EncodeConfiguration(7, std::string(kHost),
                                               {{.name = "r-sum",
                                                 .prefix = "/sum/",
                                                 .kind = "stream",
                                                 .service = "wagtail-llm",
                                                 .timeout_ms = 12'000,
                                                 .objective_ms = 500,
                                                 .attempts = 2,
                                                 .has_prompt = true,
                                                 .resumable = true}},
                                               "hule930", std::string(kKey)));
  for (int i = 0; i < kReplicas; ++i) {
    AddReplica(i);
  }
  for (int i = 0; i < kForwarders; ++i) {
    m_forwarders.push_back(std::make_unique<Forwarder>(
        m_program, m_template, m_folder, "front-" + std::to_string(i + 1),
        i < kZoneForwarders ? "colombo-a" : "colombo-b", m_store.Address()));
    m_forwarders.back()->Start();
  }
  for (const auto& forwarder : m_forwarders) {
    if (!forwarder->WaitUntilReady(10s)) {
      std::cerr << forwarder->name() << " does not get ready\n";
      return kNotRun;
    }
  }
  std::thread([this] { CheckReadiness(); }).detach();
  std::this_thread::sleep_for(100ms);
  const Time begin = Steady::now();
  std::uniform_real_distribution<> share(0, 1);
  std::mt19937 random(std::random_device{}());
  while (Steady::now() < begin + kWarmUpTime + kGrace) {
    std::thread([this, wait = share(random)] { Call(wait); }).detach();
    std::this_thread::sleep_for(kArrivalGap);
    if (m_trouble && !m_stopped_at && Steady::now() >= begin + kWarmUpTime) {
      const std::lock_guard lock(m_mutex);
      m_stopped_at = Steady::now();
      for (std::size_t i = 0; i < kStopped; ++i) {
        m_forwarders[i]->Signal(SIGTERM);
        m_record.Write("SIGTERM to " + m_forwarders[i]->name());
      }
    }
  }
  // Until all streams have ended, or the stopped processes would be killed.
  std::this_thread::sleep_until(begin + kWarmUpTime + kRunTime);
  m_stopping = true;
  const std::lock_guard lock(m_mutex);
  m_record.Write(std::to_string(m_complete) + " requests were answered completely, " +
                 std::to_string(m_excused) + " cut ones are excused, " + std::to_string(m_losses) +
                 " are lost");
  m_record.Write(m_losses > 0 ? "LOST is broken" : "LOST has held");
  m_forwarders.clear();
  if (m_complete == 0) {
    return kNotRun;
  }
  return m_losses > 0 ? kRuleBroken : kRuleHeld;
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
