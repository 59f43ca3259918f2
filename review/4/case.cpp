// A forwarder is stopped as planned while a replica preempts its newest stream, which pauses for
// less time than its caller waits. The other replica of the service is full. Guards against a
// forwarder that ends a sound answer because its replica is silent.

#include <signal.h>

#include <array>
#include <atomic>
#include <iostream>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <thread>

#include "support/lab.hpp"

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr auto kWarmUpTime = 6s;
constexpr auto kPreemptionDelay = 300ms;
constexpr auto kAfterStop = 10s;

// Rule LOST: until the last sixth of the grace time, no cut of a passed-on request is excused.
constexpr auto kGrace = 8s;
constexpr auto kLastSixth = kGrace * 5 / 6;

constexpr int kSlots = 32;
constexpr int kCallers = 10;
constexpr auto kThinkTime = 100ms;

constexpr int kEvents = 55;
constexpr auto kEventGap = 40ms;
constexpr Milliseconds kDeadline = 12'000ms;

// Callers abandon a stream after a gap of 2.4 s: eight times the pause of 300 ms that the sheet
// allows.
constexpr auto kPreemptedTime = 1'600ms;
constexpr int kPreempted = 1;

constexpr std::string_view kHost = "trays.example";
constexpr std::string_view kKey = "n2ctnfzs989anu6wsjnb";

/// A stream that the replica runs.
struct Stream {
  explicit Stream(std::string request) : id(std::move(request)) {}

  std::string id;
  int events = 0;
  std::optional<Time> paused_until;
};

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
  void AddReplica(const std::string& name, bool full);
  void Serve(const std::string& replica, Connection connection);
  /// Refuses all requests: the places are taken by those of other machines.
  void ServeFull(const std::string& replica, Connection connection);
  [[nodiscard]] bool Send(std::list<Stream>::iterator stream, int first, Connection& connection);
  void Preempt();
  void Call(std::size_t caller);
  void Judge(const std::string& id, const Connection& connection);

  const std::string m_program;
  const std::string m_template;
  const std::string m_folder;
  Record m_record;
  const bool m_trouble;

  Store m_store;
  std::vector<std::unique_ptr<Server>> m_replicas;
  std::unique_ptr<Forwarder> m_forwarder;
  std::atomic<bool> m_stopping = false;
  std::atomic<std::uint64_t> m_last_id = 0;
  std::atomic<int> m_complete = 0;

  std::mutex m_mutex;
  /// The newest is the last one.
  std::list<Stream> m_streams;
  std::optional<Time> m_stopped_at;
  std::set<std::string> m_passed_on;
  int m_losses = 0;
  int m_excused = 0;
};

void Case::AddReplica(const std::string& name, bool full) {
  m_replicas.push_back(std::make_unique<Server>([this, name, full](Connection connection) {
    full ? ServeFull(name, std::move(connection)) : Serve(name, std::move(connection));
  }));
  constexpr std::int64_t kBorn = 1'790'000'000'000;
  m_store.Put("servers/" + name, EncodeReplica("wagtail-llm", m_replicas.back()->Address(),
                                               "colombo-a", kSlots, kBorn));
}

void Case::ServeFull(const std::string& replica, Connection connection) {
  while (true) {
    std::optional<Message> request = connection.ReadHead(Steady::now() + 60s);
    if (!request || !connection.ReadBody(*request, Steady::now() + 5s)) {
      return;
    }
    const std::string id(request->Header("X-Wagtailwind-Attempt-Id"));
    const std::string last(request->Header("Last-Event-Id"));
    m_record.Write("refuse " + id + " at " + replica + ", full" +
                   (last.empty() ? "" : ", asked to go on after event " + last));
    if (!connection.Send("HTTP/1.1 503 Service Unavailable\r\nX-Wagtailwind-Attempt-Id: " + id +
                             "\r\nX-Wagtailwind-Replica-Load: 32,96,32\r\n"
                             "X-Wagtailwind-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                         Steady::now() + 5s)) {
      return;
    }
  }
}

void Case::Serve(const std::string& replica, Connection connection) {
  while (true) {
    std::optional<Message> request = connection.ReadHead(Steady::now() + 60s);
    if (!request || !connection.ReadBody(*request, Steady::now() + 5s)) {
      return;
    }
    const std::string id(request->Header("X-Wagtailwind-Attempt-Id"));
    const std::string last(request->Header("Last-Event-Id"));
    const Time end = Steady::now() + 15s;
    std::list<Stream>::iterator stream;
    std::string load;
    {
      const std::lock_guard lock(m_mutex);
      m_passed_on.insert(id);
      stream = m_streams.insert(m_streams.end(), Stream(id));
      load = std::to_string(m_streams.size()) + ",0," + std::to_string(kSlots);
    }
    m_record.Write("run " + id + " at " + replica +
                   (last.empty() ? "" : ", goes on after event " + last));
    bool sent = connection.Send("HTTP/1.1 200 OK\r\nX-Wagtailwind-Attempt-Id: " + id +
                                    "\r\nX-Wagtailwind-Replica-Seal: " + replica + "." + id +
                                    "\r\nX-Wagtailwind-Replica-Load: " + load +
                                    "\r\nContent-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n",
                                end);
    sent = sent && Send(stream, last.empty() ? 1 : std::stoi(last) + 1, connection);
    {
      const std::lock_guard lock(m_mutex);
      m_streams.erase(stream);
    }
    if (!sent || !connection.Send("0\r\n\r\n", end)) {
      m_record.Write("the forwarder has closed the connection of " + id + " at " + replica);
      return;
    }
  }
}

bool Case::Send(std::list<Stream>::iterator stream, int first, Connection& connection) {
  for (int event = first; event <= kEvents; ++event) {
    if (connection.HasPeerLeft(Steady::now() + kEventGap)) {
      return false;
    }
    std::optional<Time> paused_until;
    {
      const std::lock_guard lock(m_mutex);
      paused_until = std::exchange(stream->paused_until, std::nullopt);
    }
    if (paused_until && connection.HasPeerLeft(*paused_until)) {
      return false;
    }
    const std::string text = "id: " + std::to_string(event) + "\ndata: " + stream->id + " " +
                             std::to_string(event) + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    if (!connection.Send(size.data() + text + "\r\n", Steady::now() + 15s)) {
      return false;
    }
    const std::lock_guard lock(m_mutex);
    stream->events = event;
  }
  return true;
}

void Case::Preempt() {
  const std::lock_guard lock(m_mutex);
  int count = 0;
  for (auto stream = m_streams.rbegin(); stream != m_streams.rend() && count < kPreempted;
       ++stream) {
    if (stream->events > 0 && stream->events < kEvents - 1) {
      stream->paused_until = Steady::now() + kPreemptedTime;
      m_record.Write("preempt " + stream->id + " after event " + std::to_string(stream->events));
      ++count;
    }
  }
}

void Case::Judge(const std::string& id, const Connection& connection) {
  const Time now = Steady::now();
  const std::lock_guard lock(m_mutex);
  const bool passed_on = m_passed_on.contains(id);
  std::string line = "end of the connection without a complete answer " + id + " (" +
                     std::string(ToText(connection.end())) + ")" +
                     (passed_on ? ", passed on" : ", not passed on");
  if (m_stopped_at) {
    line += ", " +
            std::to_string(std::chrono::duration_cast<Milliseconds>(now - *m_stopped_at).count()) +
            " ms after the SIGTERM";
    if (passed_on && connection.end() != Connection::End::kTimedOut) {
      const bool excused = now >= *m_stopped_at + kLastSixth;
      line += excused ? ", excused" : ", LOST";
      (excused ? m_excused : m_losses) += 1;
    }
  }
  m_record.Write(line);
}

void Case::Call(std::size_t caller) {
  std::mt19937 random(static_cast<unsigned>(caller) + 1);
  std::uniform_int_distribution<> spread(0, 2 * static_cast<int>(kThinkTime.count()));
  Connection connection(-1);
  while (!m_stopping) {
    std::this_thread::sleep_for(Milliseconds(spread(random)));
    if (!connection.IsOpen()) {
      connection = Connection::Open(m_forwarder->port());
      if (!connection.IsOpen()) {
        std::this_thread::sleep_for(200ms);
        continue;
      }
    }
    const std::string id = "req" + std::to_string(++m_last_id);
    const std::string body(600, 'q');
    const Time end = Steady::now() + kDeadline;
    m_record.Write("send " + id);
    std::optional<Message> answer;
    bool complete = false;
    if (connection.Send(
            "POST /sum/2f HTTP/1.1\r\nHost: " + std::string(kHost) +
                "\r\nX-Wagtailwind-Attempt-Id: " + id + "\r\nX-Wagtailwind-Deadline-Ms: " +
                std::to_string(kDeadline.count()) + "\r\nApi-Key: " + std::string(kKey) +
                "\r\nX-Wagtailwind-Model: m\r\nX-Wagtailwind-Token-Counts: 11812,385\r\n"
                "X-Wagtailwind-Prefix-Hash: 5c1e07a2:10512," +
                id.substr(3) + ":1300\r\nContent-Length: 600\r\n\r\n" + body,
            end)) {
      answer = connection.ReadHead(end);
      complete = answer && connection.ReadBody(*answer, end);
    }
    if (m_stopping) {
      return;
    }
    if (!complete) {
      Judge(id, connection);
      connection.Close();
      continue;
    }
    m_complete += answer->Status() == 200 ? 1 : 0;
    m_record.Write("answer " + id + " " + std::to_string(answer->Status()) + ", complete");
    if (answer->Header("Connection") == "close") {
      connection.Close();
    }
    if (const std::string wait(answer->Header("Retry-After")); !wait.empty()) {
      std::this_thread::sleep_for(std::chrono::duration<double>(std::stod(wait)));
    }
  }
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
  AddReplica("i-busy", false);
  AddReplica("i-full", true);
  m_forwarder = std::make_unique<Forwarder>(m_program, m_template, m_folder, "front-1", "colombo-a",
                                            m_store.Address());
  m_forwarder->Start();
  if (!m_forwarder->WaitUntilReady(10s)) {
    std::cerr << "the forwarder does not get ready\n";
    return kNotRun;
  }
  for (std::size_t i = 0; i < kCallers; ++i) {
    std::thread([this, i] { Call(i); }).detach();
  }
  std::this_thread::sleep_for(kWarmUpTime);
  {
    const std::lock_guard lock(m_mutex);
    m_stopped_at = Steady::now();
    m_forwarder->Signal(SIGTERM);
    m_record.Write("SIGTERM to " + m_forwarder->name());
  }
  std::this_thread::sleep_for(kPreemptionDelay);
  if (m_trouble) {
    Preempt();
  }
  std::this_thread::sleep_for(kAfterStop);
  m_stopping = true;
  const std::lock_guard lock(m_mutex);
  m_record.Write(std::to_string(m_complete) + " requests were served completely, " +
                 std::to_string(m_excused) + " cut ones are excused, " + std::to_string(m_losses) +
                 " are lost");
  m_record.Write(m_losses > 0 ? "LOST is broken" : "LOST has held");
  m_forwarder.reset();
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
