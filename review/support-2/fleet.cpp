#include "fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "record.hpp"

namespace review {

namespace {

constexpr const char* kForwarder = "target/wagtailwind-forwarder";
constexpr const char* kTemplate = "platform/forwarder.yaml";

/// Fills in the platform's template. Values are plain; sections are left out, as without a value.
std::string Render(std::string text, const std::map<std::string, std::string>& values) {
  for (std::size_t begin = 0; (begin = text.find("{{#", begin)) != std::string::npos;) {
    const std::string name = text.substr(begin + 3, text.find("}}", begin) - begin - 3);
    const std::string end = "{{/" + name + "}}";
    text.erase(begin, text.find(end, begin) + end.size() - begin);
  }
  for (std::size_t begin = 0; (begin = text.find("{{", begin)) != std::string::npos;) {
    const std::size_t end = text.find("}}", begin);
    const auto value = values.find(text.substr(begin + 2, end - begin - 2));
    if (value == values.end()) {
      throw std::runtime_error("no value for " + text.substr(begin, end + 2 - begin));
    }
    text.replace(begin, end + 2 - begin, value->second);
  }
  return text;
}

}  // namespace

std::string OwnProgram() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

Process::Process(const std::vector<std::string>& arguments, LineHandler on_line,
                 const std::string& log) {
  int output[2];
  int input[2];
  if (pipe2(output, O_CLOEXEC) != 0 || pipe2(input, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe");
  }
  std::vector<char*> words;
  for (const std::string& argument : arguments) {
    words.push_back(const_cast<char*>(argument.c_str()));
  }
  words.push_back(nullptr);
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(input[0], STDIN_FILENO);
    if (log.empty()) {
      dup2(output[1], STDOUT_FILENO);
    } else {
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(file, STDOUT_FILENO);
      dup2(file, STDERR_FILENO);
    }
    execv(words[0], words.data());
    _exit(127);
  }
  close(output[1]);
  close(input[0]);
  m_input = input[1];
  m_reader = std::thread([descriptor = output[0], on_line = std::move(on_line)] {
    std::FILE* lines = fdopen(descriptor, "r");
    char line[4096];
    while (std::fgets(line, sizeof(line), lines) != nullptr) {
      std::string text(line);
      while (!text.empty() && text.back() == '\n') {
        text.pop_back();
      }
      if (on_line) {
        on_line(text);
      }
    }
    std::fclose(lines);
  });
}

Process::~Process() {
  Kill();
  close(m_input);
  m_reader.join();
}

void Process::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

void Process::Kill() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
}

bool Process::HasEnded() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    m_pid = -1;
  }
  return m_pid < 0;
}

void Process::Command(const std::string& line) const {
  const std::string text = line + "\n";
  (void)!write(m_input, text.data(), text.size());
}

TemporaryFolder::TemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "wagtailwind-review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("mkdtemp");
  }
  m_path = name;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(m_path, ignored);
  }
}

Forwarder::Forwarder(std::string name, std::uint16_t store, std::string folder)
    : m_name(std::move(name)),
      m_folder(std::move(folder)),
      m_store(store),
      m_port(FreePort()),
      m_ready_port(FreePort()),
      m_metrics_port(FreePort()) {}

void Forwarder::Start() {
  std::ifstream file(kTemplate);
  std::stringstream text;
  text << file.rdbuf();
  const std::string path = m_folder + "/" + m_name + ".yaml";
  std::ofstream(path) << Render(
      text.str(),
      {{"Node", m_name},
       {"Zone", "a"},
       {"Limits.RamMb", "182"},
       {"Listen.Front", Address(m_port)},
       {"Listen.Ready", Address(m_ready_port)},
       {"Ip", "127.0.0.1"},
       {"PortRange.0", std::to_string(m_metrics_port)},
       {"Infra.Addr", Address(m_store)},
       {"Bounds.RevokeMs", "5000"},
       {"Bounds.ConfigMs", "2000"},
       {"Bounds.DrainMs", "2000"},
       {"Bounds.GraceS", "8"},
       {"Bounds.RetryRatio", "0.2"},
       {"Bounds.RetrySlack", "108"},
       {"Contracts|json",
        R"(["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"])"},
       {"Zones|json", R"({"a":"r"})"}});
  m_process = std::make_unique<Process>(std::vector<std::string>{kForwarder, "--config", path},
                                        nullptr, LogPath());
}

bool Forwarder::IsReady() const {
  Connection connection(Connect(m_ready_port, 500));
  Message answer;
  return connection.descriptor() >= 0 &&
         connection.Write("GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection.ReadHead(answer, NowMs() + 500) == ReadResult::kData && answer.Status() == 200;
}

bool Forwarder::WaitReady(double timeout_ms) const {
  for (const double end = NowMs() + timeout_ms; NowMs() < end; SleepMs(20)) {
    if (IsReady()) {
      return true;
    }
  }
  return false;
}

std::string NewId() {
  static std::mt19937_64 random(std::random_device{}());
  static std::atomic<std::uint32_t> count{0};
  char text[32];
  std::snprintf(text, sizeof(text), "%08llx%08x",
                static_cast<unsigned long long>(random() & 0xffffffffU), ++count);
  return text;
}

std::string RequestText(const ClientRequest& request) {
  std::string text =
      request.method + " " + request.target + " HTTP/1.1\r\nHost: small.example\r\n" +
      "X-Wagtailwind-Attempt-Id: " + request.id + "\r\n" +
      "X-Wagtailwind-Deadline-Ms: " + std::to_string(static_cast<int>(request.deadline_ms)) +
      "\r\n";
  if (!request.key.empty()) {
    text += "Api-Key: " + request.key + "\r\n";
  }
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  if (request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

ClientAnswer Send(std::uint16_t port, const ClientRequest& request) {
  ClientAnswer answer;
  answer.sent_at = NowMs();
  Connection connection(Connect(port, 1000));
  if (connection.descriptor() < 0) {
    answer.status = -1;
    answer.ended_at = NowMs();
    Record("client: " + request.id + " no connection");
    return answer;
  }
  Record("client: " + request.id + " sends " + request.target + " to port " + std::to_string(port));
  const double deadline = answer.sent_at + request.deadline_ms + 1000;
  if (connection.Write(RequestText(request)) &&
      connection.ReadHead(answer.message, deadline) == ReadResult::kData) {
    answer.status = answer.message.Status();
    answer.complete = connection.ReadBody(answer.message, deadline) == ReadResult::kData;
  }
  answer.ended_at = NowMs();
  Record("client: " + request.id + " gets " + std::to_string(answer.status) +
         (answer.status > 0 && !answer.complete ? " (not complete)" : "") +
         (answer.message.Find("Retry-After").empty()
              ? ""
              : ", Retry-After " + answer.message.Find("Retry-After")) +
         " after " + std::to_string(static_cast<int>(answer.ended_at - answer.sent_at)) + " ms");
  return answer;
}

}  // namespace review
