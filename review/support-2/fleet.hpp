#ifndef WAGTAILWIND_REVIEW_FLEET_HPP_
#define WAGTAILWIND_REVIEW_FLEET_HPP_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"
#include "store.hpp"

namespace review {

/// \brief A process that this one has started. It is killed by the destructor.
class Process {
 public:
  using LineHandler = std::function<void(const std::string&)>;

  /// \brief Starts a program. Its standard output goes to `on_line`, or to `log` if that is given.
  Process(const std::vector<std::string>& arguments, LineHandler on_line, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  /// \brief Kills the process, and returns when it is gone.
  void Kill();
  /// \brief Whether the process has ended by itself.
  [[nodiscard]] bool HasEnded();
  void Command(const std::string& line) const;
  [[nodiscard]] pid_t pid() const { return m_pid; }

 private:
  pid_t m_pid = -1;
  int m_input = -1;
  std::thread m_reader;
};

/// \brief Folder of the run's settings and logs, removed by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  [[nodiscard]] const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

/// \brief A forwarder on free ports of the loopback interface, started as the deploy file says,
/// with settings from the platform's template and the bounds of the smallest deployment.
class Forwarder {
 public:
  Forwarder(std::string name, std::uint16_t store, std::string folder);

  void Start();
  void Kill() { m_process->Kill(); }
  [[nodiscard]] Process& process() { return *m_process; }
  [[nodiscard]] std::uint16_t port() const { return m_port; }
  [[nodiscard]] bool IsReady() const;
  /// \brief Waits until the forwarder is ready; false if that takes too long.
  [[nodiscard]] bool WaitReady(double timeout_ms) const;
  [[nodiscard]] std::string LogPath() const { return m_folder + "/" + m_name + ".log"; }

 private:
  std::string m_name;
  std::string m_folder;
  std::uint16_t m_store;
  std::uint16_t m_port;
  std::uint16_t m_ready_port;
  std::uint16_t m_metrics_port;
  std::unique_ptr<Process> m_process;
};

struct ClientRequest {
  std::string method = "POST";
  std::string target;
  std::string id;
  std::string key;
  double deadline_ms = 1000;
  Headers headers{};
  std::string body{};
};

struct ClientAnswer {
  /// 0: the connection ended without a complete answer; -1: no connection.
  int status = 0;
  Message message{};
  bool complete = false;
  double sent_at = 0;
  double ended_at = 0;
};

/// \brief Returns a request's text.
[[nodiscard]] std::string RequestText(const ClientRequest& request);

/// \brief Sends a request on a new connection, waits for its answer, and records both.
[[nodiscard]] ClientAnswer Send(std::uint16_t port, const ClientRequest& request);

/// \brief Returns a new id for an attempt.
[[nodiscard]] std::string NewId();

/// \brief Path of the program that runs now, which is also the stand-in of a replica.
[[nodiscard]] std::string OwnProgram();

}  // namespace review

#endif  // WAGTAILWIND_REVIEW_FLEET_HPP_
