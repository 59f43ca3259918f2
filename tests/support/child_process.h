#ifndef WAGTAILWIND_TESTS_SUPPORT_CHILD_PROCESS_H_
#define WAGTAILWIND_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace wagtailwind::testing {

/// \brief A child process of a test. The destructor kills it if it is still running.
class ChildProcess {
 public:
  /// \brief Starts a program. Standard output goes to the file `stdout_path`, or is read by
  /// ReadLine() if the path is empty. Standard error goes to the file `stderr_path`, or is
  /// inherited if the path is empty.
  explicit ChildProcess(const std::vector<std::string>& arguments,
                        const std::string& stderr_path = "", const std::string& stdout_path = "");
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// \brief Returns the next line of standard output without its line break; empty at the end.
  [[nodiscard]] std::string ReadLine();

  /// \brief Sends a signal unless the process is known to have ended.
  void Signal(int signal) const;

  /// \brief Whether the program has ended; does not wait.
  [[nodiscard]] bool HasEnded();

  /// \brief Waits for the end of the program. Returns its exit status, or 128 plus the number of
  /// the signal that ended it.
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
