#include "support/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace wagtailwind::testing {

namespace {

/// Redirects a file descriptor to the end of a file, unless the path is empty.
void Redirect(int output, const std::string& path) {
  if (!path.empty()) {
    dup2(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644), output);
  }
}

int ExitStatus(int status) {
  constexpr int kSignalled = 128;
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalled + WTERMSIG(status);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& stderr_path, const std::string& stdout_path) {
  int output[2];
  if (pipe2(output, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe2 failed");
  }
  std::vector<char*> raw_arguments;
  raw_arguments.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    raw_arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  raw_arguments.push_back(nullptr);
  const pid_t parent = getpid();
  m_id = fork();
  if (m_id < 0) {
    throw std::runtime_error("fork failed");
  }
  if (m_id == 0) {
    // A crashed test must not leave child processes running.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // Moves the child out of the test's process group. When the shell that started the test ends,
    // that group is orphaned, and the kernel sends SIGHUP to its stopped processes.
    setpgid(0, 0);
    if (getppid() != parent) {
      _exit(127);
    }
    dup2(output[1], STDOUT_FILENO);
    Redirect(STDOUT_FILENO, stdout_path);
    Redirect(STDERR_FILENO, stderr_path);
    execv(raw_arguments[0], raw_arguments.data());
    _exit(127);
  }
  close(output[1]);
  m_output = output[0];
}

ChildProcess::~ChildProcess() {
  if (m_id > 0 && !m_status) {
    kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
  }
  if (m_output >= 0) {
    close(m_output);
  }
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_id(std::exchange(other.m_id, -1)),
      m_output(std::exchange(other.m_output, -1)),
      m_buffer(std::move(other.m_buffer)),
      m_status(other.m_status) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  std::swap(m_id, other.m_id);
  std::swap(m_output, other.m_output);
  std::swap(m_buffer, other.m_buffer);
  std::swap(m_status, other.m_status);
  return *this;
}

std::string ChildProcess::ReadLine() {
  while (true) {
    const std::size_t end = m_buffer.find('\n');
    if (end != std::string::npos) {
      std::string line = m_buffer.substr(0, end);
      m_buffer.erase(0, end + 1);
      return line;
    }
    std::array<char, 4096> bytes{};
    const ssize_t count = read(m_output, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return std::exchange(m_buffer, {});
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
  }
}

void ChildProcess::Signal(int signal) const {
  if (m_id > 0 && !m_status) {
    kill(m_id, signal);
  }
}

bool ChildProcess::HasEnded() {
  int status = 0;
  if (!m_status && waitpid(m_id, &status, WNOHANG) == m_id) {
    m_status = ExitStatus(status);
  }
  return m_status.has_value();
}

int ChildProcess::Wait() {
  if (!m_status) {
    int status = 0;
    while (waitpid(m_id, &status, 0) < 0 && errno == EINTR) {
    }
    m_status = ExitStatus(status);
  }
  return *m_status;
}

}  // namespace wagtailwind::testing
