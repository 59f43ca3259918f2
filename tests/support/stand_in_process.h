#ifndef WAGTAILWIND_TESTS_SUPPORT_STAND_IN_PROCESS_H_
#define WAGTAILWIND_TESTS_SUPPORT_STAND_IN_PROCESS_H_

#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "support/child_process.h"

namespace wagtailwind::testing {

/// \brief A running stand-in program that listens on a free loopback port.
class StandInProcess {
 public:
  /// \brief Starts the program `name` from the directory of this executable and waits until it
  /// listens.
  explicit StandInProcess(const std::string& name, const std::vector<std::string>& options = {});

  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }
  [[nodiscard]] ChildProcess& Process() noexcept { return m_process; }

  /// \brief Configures faults with `POST /control`. Throws std::runtime_error if it is rejected.
  void Control(const std::string& json);

  /// \brief Returns the body of `GET path`.
  [[nodiscard]] std::string Fetch(const std::string& path);

  /// \brief Returns the lines of `GET /history`.
  [[nodiscard]] std::vector<std::string> History();

 private:
  ChildProcess m_process;
  std::string m_address;
  std::unique_ptr<http::Client> m_client;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_STAND_IN_PROCESS_H_
