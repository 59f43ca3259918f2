#include "replica.hpp"

#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http.hpp"

namespace review {

namespace {

using nlohmann::json;

constexpr double kHeartbeatMs = 1200;
constexpr double kKeepAliveMs = 30'000;

struct Options {
  std::string id;
  std::string service;
  std::string zone = "a";
  std::uint16_t store = 0;
  int slots = 8;
  /// Time to the answer, or to the first event of a stream.
  double work_ms = 20;
  /// Events of a stream; 0 means a plain answer.
  int events = 0;
  double gap_ms = 20;
  /// Part of prompts under which the replica crashes; empty if there is none.
  std::string poison;
  /// Events that it writes of the answer to such a prompt.
  int poisoned_events = 0;
};

class Replica {
 public:
  explicit Replica(Options options) : m_options(std::move(options)) {
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  }

  int Run() {
    m_listener = Listen(m_port);
    std::thread([this] { Beat(); }).detach();
    std::thread([this] { ReadCommands(); }).detach();
    Say("listening " + std::to_string(m_port));
    while (true) {
      const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor >= 0) {
        std::thread([this, descriptor] { Serve(descriptor); }).detach();
      }
    }
  }

 private:
  void Say(const std::string& line) {
    const std::lock_guard lock(m_mutex);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
  }

  void Register() {
    const std::lock_guard lock(m_beat_mutex);
    const json entry = {{"Service", m_options.service},
                        {"Addr", Address(m_port)},
                        {"Zone", m_options.zone},
                        {"Version", "v1"},
                        {"Slots", m_options.slots},
                        {"State", m_draining ? "draining" : "ready"},
                        {"ColdLeftMs", 0},
                        {"Seq", ++m_seq},
                        {"born", m_born}};
    const json call = {
        {"Puts", {{{"Key", "servers/" + m_options.id}, {"Value", Base64Encode(entry.dump())}}}}};
    Connection connection(Connect(m_options.store, 500));
    if (connection.descriptor() < 0) {
      return;
    }
    const std::string body = call.dump();
    (void)connection.Write(
        "POST /api/kv-txn HTTP/1.1\r\nHost: store\r\nReplica: 1\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    Message answer;
    if (connection.ReadHead(answer, NowMs() + 500) == ReadResult::kData) {
      (void)connection.ReadBody(answer, NowMs() + 500);
    }
  }

  void Beat() {
    while (true) {
      Register();
      SleepMs(kHeartbeatMs);
    }
  }

  /// Ends the process as a crash. The kernel closes the sockets of a process in any order; on the
  /// loopback interface, a caller could connect again between them. Behind a network, it finds the
  /// port closed.
  [[noreturn]] void Crash() {
    shutdown(m_listener, SHUT_RDWR);
    kill(getpid(), SIGKILL);
    std::abort();
  }

  void ReadCommands() {
    std::string line;
    while (std::getline(std::cin, line)) {
      if (line == "crash") {
        Crash();
      } else if (line == "drain") {
        m_draining = true;
        Register();
      } else if (line == "announce") {
        m_announces = true;
      } else if (line.starts_with("work ")) {
        m_options.work_ms = std::atof(line.c_str() + 5);
      }
    }
    // The parent has ended.
    std::_Exit(0);
  }

  [[nodiscard]] std::string Load() {
    const int running = m_running;
    const int active = std::min(running, m_options.slots);
    return std::to_string(active) + "," + std::to_string(running - active) + "," +
           std::to_string(m_options.slots);
  }

  [[nodiscard]] Headers MakeHeaders(const std::string& id) {
    Headers headers = {{"X-Wagtailwind-Attempt-Id", id},
                       {"X-Wagtailwind-Replica-Load", Load()},
                       {"Keep-Alive", "timeout=30"}};
    if (m_announces) {
      headers.emplace_back("Server-Leaving", "1");
    }
    return headers;
  }

  void Serve(int descriptor) {
    Connection connection(descriptor);
    Message request;
    while (connection.ReadHead(request, NowMs() + kKeepAliveMs) == ReadResult::kData &&
           connection.ReadBody(request, NowMs() + kKeepAliveMs) == ReadResult::kData) {
      const std::string id = request.Find("X-Wagtailwind-Attempt-Id");
      if (request.Target() == "/healthz") {
        if (!connection.Write(MakeResponse(m_draining ? 503 : 200,
                                           {{"X-Wagtailwind-Replica-Id", m_options.id}}, ""))) {
          return;
        }
        continue;
      }
      const std::string expected = request.Find("X-Wagtailwind-Expect-Replica");
      if (!expected.empty() && expected != m_options.id) {
        Say("misdirected " + id);
        if (!connection.Write(
                MakeResponse(421, {{"X-Wagtailwind-Replica-Id", m_options.id}}, ""))) {
          return;
        }
        continue;
      }
      Say("arrive " + id + " " + request.Target());
      ++m_running;
      const bool goes_on = Work(connection, request, id);
      --m_running;
      if (!goes_on) {
        return;
      }
    }
  }

  /// Waits; false if the caller has closed the connection meanwhile.
  [[nodiscard]] bool Wait(const Connection& connection, double milliseconds) {
    for (const double end = NowMs() + milliseconds; NowMs() < end;) {
      if (connection.IsGone()) {
        return false;
      }
      SleepMs(std::min(5.0, std::max(end - NowMs(), 0.1)));
    }
    return true;
  }

  /// Whether a shared part of the prompt crashes the replica.
  [[nodiscard]] bool IsPoisoned(const Message& request) const {
    const std::string parts = request.Find("X-Wagtailwind-Prefix-Hash");
    const std::string shared = parts.substr(0, std::min(parts.rfind(','), parts.size()));
    return !m_options.poison.empty() && shared.find(m_options.poison + ":") != std::string::npos;
  }

  [[nodiscard]] bool Work(Connection& connection, const Message& request, const std::string& id) {
    const int from = request.Find("Last-Event-Id").empty()
                         ? 0
                         : std::atoi(request.Find("Last-Event-Id").c_str());
    if (!Wait(connection, m_options.work_ms)) {
      Say("dropped " + id);
      return false;
    }
    Say("run " + id);
    const std::string seal = m_options.id + "." + id;
    Headers headers = MakeHeaders(id);
    headers.emplace_back("X-Wagtailwind-Replica-Seal", seal);
    if (m_options.events == 0) {
      const bool written = connection.Write(MakeResponse(200, headers, "answer to " + id));
      Say("end " + id);
      return written;
    }
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    for (const auto& [name, value] : headers) {
      head.append(name).append(": ").append(value).append("\r\n");
    }
    head.append("Transfer-Encoding: chunked\r\n\r\n");
    const bool is_poisoned = IsPoisoned(request);
    for (int event = from + 1; event <= m_options.events; ++event) {
      if (is_poisoned && event == from + 1 + m_options.poisoned_events) {
        Say("crash " + id);
        Crash();
      }
      const std::string text =
          "id: " + std::to_string(event) + "\ndata: " + id + " " + std::to_string(event) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!connection.Write(std::exchange(head, {}) + size + text + "\r\n") ||
          !Wait(connection, m_options.gap_ms)) {
        Say("cancelled " + id);
        return false;
      }
    }
    const bool written = connection.Write(head + "0\r\n\r\n");
    Say("end " + id);
    return written;
  }

  Options m_options;
  std::int64_t m_born = 0;
  std::uint16_t m_port = 0;
  int m_listener = -1;
  std::mutex m_mutex;
  std::mutex m_beat_mutex;
  std::uint64_t m_seq = 0;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_announces{false};
  std::atomic<int> m_running{0};
};

}  // namespace

int RunReplica(int argc, char** argv) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::map<std::string, std::string> values;
  for (int i = 0; i + 1 < argc; i += 2) {
    values[argv[i]] = argv[i + 1];
  }
  Options options;
  options.id = values["--id"];
  options.service = values["--service"];
  options.store = static_cast<std::uint16_t>(std::stoi(values["--store"]));
  if (values.contains("--slots")) {
    options.slots = std::stoi(values["--slots"]);
  }
  if (values.contains("--work")) {
    options.work_ms = std::stod(values["--work"]);
  }
  if (values.contains("--events")) {
    options.events = std::stoi(values["--events"]);
  }
  if (values.contains("--poison")) {
    options.poison = values["--poison"];
    options.poisoned_events = std::stoi(values["--poisoned-events"]);
  }
  if (values.contains("--gap")) {
    options.gap_ms = std::stod(values["--gap"]);
  }
  return Replica(options).Run();
}

}  // namespace review
