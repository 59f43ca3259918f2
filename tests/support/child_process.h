#ifndef WAGTAILWIND_TESTS_SUPPORT_CHILD_PROCESS_H_
#define WAGTAILWIND_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace wagtailwind::testing {

/// \brief A program of the project, started by a test. Killed at the latest by the destructor.
class ChildProcess {
 public:
  /// \brief Starts a program. Standard output is read by ReadLine(), or goes to the file
  /// `stdout_path` if that is not empty; standard error goes to the file `stderr_path`, or is
  /// inherited if that is empty.
  explicit ChildProcess(const std::vector<std::string>& arguments,
                        const std::string& stderr_path = "", const std::string& stdout_path = "");
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// \brief The next line of standard output without its end; empty at the end of the output.
  [[nodiscard]] std::string ReadLine();

  /// \brief Sends a signal.
  void Signal(int signal) const;

  /// \brief Whether the program has ended; does not wait.
  [[nodiscard]] bool HasEnded();

  /// \brief Waits for the end; the exit status, or 128 + the signal that ended the program.
  int Wait();

  [[nodiscard]] pid_t Id() const noexcept { return m_id; }

 private:
  pid_t m_id = -1;
  int m_output = -1;
  std::string m_buffer;
  std::optional<int> m_status;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_CHILD_PROCESS_H_
