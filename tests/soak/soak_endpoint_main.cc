// An endpoint of the soak. It answers calls and streams over the deployment's protocol, and appends
// an entry for each execution to a log file, which remains after the process is killed.

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <cxxopts.hpp>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "core/clock.h"
#include "forward/deployment_adapter.h"
#include "http/message.h"
#include "net/event_loop.h"
#include "platform/adapter.h"
#include "soak/answer_text.h"
#include "support/scripted_server.h"

namespace wagtailwind::soak {

namespace {

using testing::HttpText;
using testing::ScriptedServer;
using Connection = ScriptedServer::Connection;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

// 64 MB/s on a connection, more than the link of an instance carries. All bytes pass through the
// soak's own process, which a higher rate would hold up.
constexpr int kEndlessPartsPerTick = 4;

// Longer than the ledger waits for the end of what is on its way.
constexpr std::chrono::seconds kNamedPause{5};

std::uint64_t ParseNumber(std::string_view text) {
  return text.empty() ? 0 : std::stoull(std::string(text));
}

class Endpoint {
 public:
  Endpoint(net::EventLoop& loop, std::string name, const std::string& log, bool is_cold)
      : m_loop(loop),
        m_name(std::move(name)),
        m_log(open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)),
        m_server(loop, [this](Connection& connection) { Handle(connection); }),
        m_endless_writer(loop, kEndlessPartsPerTick) {
    Record("start", is_cold ? "cold" : "warm");
  }
  ~Endpoint() { close(m_log); }
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  [[nodiscard]] std::string Address() const { return m_server.Address(); }

 private:
  /// A request that is being processed.
  struct Run {
    Connection* connection = nullptr;
    std::string attempt;
    bool stream = false;
    bool head_sent = false;
    /// The answer has been given up for bytes without end.
    bool endless = false;
    std::size_t next = 1;
    std::size_t size = 0;
    std::chrono::milliseconds pause{0};
    std::unique_ptr<net::Timer> timer;
  };

  // Writes each line with one system call, so that a kill never leaves a partial line.
  void Record(std::string_view event, const std::string& rest) const {
    const std::string line = std::to_string(SystemClock().Now().time_since_epoch().count()) + " " +
                             m_name + " " + std::string(event) + " " + rest + "\n";
    if (write(m_log, line.data(), line.size()) < 0) {
      std::cerr << "soak_endpoint: cannot write to the log file\n";
    }
  }

  [[nodiscard]] std::string SignatureHeaders(const std::string& attempt) const {
    return m_names.signature + ": " + m_name + "\r\n" + m_names.attempt_id + ": " + attempt +
           "\r\n" + m_names.load + ": " + std::to_string(m_runs.size()) + ",0,32\r\n";
  }

  /// Returns the header line by which an answer announces that the endpoint leaves, if it does.
  [[nodiscard]] std::string LeavingHeader(const std::string& attempt) const {
    if (!m_leaving) {
      return {};
    }
    Record("leave", attempt);
    return m_names.leaving + ": 1\r\n";
  }

  /// Refuses a request. A `pause` above 0 is the time for which the endpoint wants no further ones.
  void Refuse(Connection& connection, int status, std::chrono::seconds pause = {}) {
    const std::string attempt(http::FindHeader(connection.head.headers, m_names.attempt_id));
    Record("refuse", attempt + " " + std::to_string(status) + " " +
                         std::to_string(std::chrono::milliseconds(pause).count()));
    std::string headers =
        m_names.not_run + ": 1\r\n" + m_names.attempt_id + ": " + attempt + "\r\n";
    if (status != kMisdirected) {
      headers += LeavingHeader(attempt);
    }
    if (pause > std::chrono::seconds(0)) {
      headers += "Retry-After: " + std::to_string(pause.count()) + "\r\n";
    }
    const std::string text = HttpText(status, headers, "");
    connection.Write(text);
    m_refusals[&connection] = text;
  }

  /// Writes the last refusal on the connection once more, as a faulty endpoint does.
  void RepeatRefusal(Connection& connection) {
    if (auto refusal = m_refusals.extract(&connection)) {
      connection.Write(refusal.mapped());
    }
  }

  void Handle(Connection& connection) {
    const http1::MessageHead& head = connection.head;
    const auto field = [&head](const std::string& name) {
      return std::string(http::FindHeader(head.headers, name));
    };
    const std::size_t question = head.target.find('?');
    const std::string path = head.target.substr(0, question);
    const std::string_view query = std::string_view(head.target).substr(question + 1);
    if (path == "/control") {
      const std::string mode(http::QueryParameter(query, "mode"));
      if (mode == "leave") {
        m_leaving = true;
      } else {
        m_mode = mode;
      }
      connection.Write(HttpText(kOk, "", ""));
      return;
    }
    const std::string expected = field(m_names.expected_endpoint);
    if (!expected.empty() && expected != m_name) {
      Refuse(connection, kMisdirected);
      return;
    }
    if (m_mode == "refuse" || m_mode == "pause") {
      Refuse(connection, kUnavailable, m_mode == "pause" ? kNamedPause : std::chrono::seconds(0));
      return;
    }
    RepeatRefusal(connection);
    Run& run = m_runs.emplace_back();
    run.connection = &connection;
    run.attempt = field(m_names.attempt_id);
    run.stream = path.starts_with("/stream");
    run.size = ParseNumber(http::QueryParameter(query, "size"));
    run.pause = std::chrono::milliseconds(ParseNumber(http::QueryParameter(query, "pause")));
    const std::string last_event = field("Last-Event-Id");
    run.next = 1 + ParseNumber(last_event);
    const bool leaks_key = !field(m_names.api_key).empty();
    Record("run", run.attempt + " " + path + " " + field(m_names.organisation) + " " +
                      (leaks_key ? "key" : "-") + " " + field(m_names.deadline));
    run.timer = std::make_unique<net::Timer>(m_loop, [this, &run] { Step(run); });
    run.timer->Start(run.pause);
  }

  void Step(Run& run) {
    if (run.connection->closed()) {
      End(run, "cancel");
      return;
    }
    if (run.endless || m_mode == "endless") {
      StepEndless(run);
      return;
    }
    if (m_mode == "hang") {
      run.timer->Start(run.pause);
      return;
    }
    if (m_mode == "lose") {
      run.connection->Close();
      End(run, "lost");
      return;
    }
    if (m_mode == "fail" && !run.head_sent) {
      run.connection->Write(HttpText(
          kServerError, SignatureHeaders(run.attempt) + LeavingHeader(run.attempt), "failed"));
      End(run, "failed");
      return;
    }
    run.stream ? StepStream(run) : Answer(run);
  }

  void Answer(Run& run) {
    const std::string text =
        HttpText(kOk, SignatureHeaders(run.attempt) + LeavingHeader(run.attempt),
                 CallBody(run.attempt, run.size));
    if (m_mode == "truncate") {
      constexpr std::size_t kCutBytes = 5;
      run.connection->Write(std::string_view(text).substr(0, text.size() - kCutBytes));
      run.connection->Close();
      End(run, "cut");
      return;
    }
    run.connection->Write(text);
    End(run, "end");
  }

  void StepStream(Run& run) {
    WriteStreamHead(run);
    if (run.next > run.size) {
      run.connection->Write("0\r\n\r\n");
      End(run, "end");
      return;
    }
    const std::string event = StreamEvent(run.attempt, run.next);
    char length[16];
    snprintf(length, sizeof length, "%zx\r\n", event.size());
    // Truncates the stream in the middle of an event.
    if (m_mode == "truncate" && run.next * 2 > run.size) {
      run.connection->Write(length + event.substr(0, event.size() / 2));
      run.connection->Close();
      End(run, "cut");
      return;
    }
    run.connection->Write(length + event + "\r\n");
    ++run.next;
    run.timer->Start(run.pause);
  }

  /// Sends bytes that are no answer until the caller closes the connection.
  void StepEndless(Run& run) {
    run.timer->Start(run.pause);
    if (std::exchange(run.endless, true)) {
      return;
    }
    if (run.stream) {
      WriteStreamHead(run);
      m_endless_writer.Start(*run.connection, testing::Chunk("data: more\n"));
    } else if (++m_endless_calls % 2 == 0) {
      run.connection->Write("HTTP/1.1 500 Error\r\n" + SignatureHeaders(run.attempt) +
                            "Transfer-Encoding: chunked\r\n\r\n");
      m_endless_writer.Start(*run.connection, testing::Chunk("failed"));
    } else {
      run.connection->Write("HTTP/1.1 200 OK\r\n" + SignatureHeaders(run.attempt));
      m_endless_writer.Start(*run.connection, "Field: value\r\n");
    }
  }

  void WriteStreamHead(Run& run) {
    if (!std::exchange(run.head_sent, true)) {
      run.connection->Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                            SignatureHeaders(run.attempt) + LeavingHeader(run.attempt) +
                            "Transfer-Encoding: chunked\r\n\r\n");
    }
  }

  void End(Run& run, std::string_view how) {
    Record(how, run.attempt);
    m_runs.remove_if([&run](const Run& entry) { return &entry == &run; });
  }

  net::EventLoop& m_loop;
  const std::unique_ptr<forward::DeploymentAdapter> m_adapter = adapter::MakeAdapter();
  const forward::WireNames& m_names = m_adapter->Names();
  const std::string m_name;
  const int m_log;
  /// Active fault: `fail`, `lose`, `truncate`, `refuse`, `pause`, `hang`, `endless`, or empty.
  std::string m_mode;
  /// Each answer announces that the endpoint leaves. This has no end.
  bool m_leaving = false;
  std::list<Run> m_runs;
  std::map<const Connection*, std::string> m_refusals;
  ScriptedServer m_server;
  testing::EndlessWriter m_endless_writer;
  int m_endless_calls = 0;
};

}  // namespace

}  // namespace wagtailwind::soak

int main(int argc, char** argv) {
  cxxopts::Options options("soak_endpoint", "An endpoint of the soak.");
  options.add_options()("name", "name of the endpoint in the key-value service",
                        cxxopts::value<std::string>())(
      "log", "file to which executions are appended", cxxopts::value<std::string>())(
      "cold", "the endpoint has started during traffic", cxxopts::value<bool>());
  try {
    const auto arguments = options.parse(argc, argv);
    signal(SIGPIPE, SIG_IGN);
    wagtailwind::net::EventLoop loop;
    const wagtailwind::soak::Endpoint endpoint(loop, arguments["name"].as<std::string>(),
                                               arguments["log"].as<std::string>(),
                                               arguments["cold"].as<bool>());
    const wagtailwind::net::SignalWatcher stop(loop, SIGTERM, [&loop] { loop.Stop(); });
    std::cout << endpoint.Address() << std::endl;
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "soak_endpoint: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
