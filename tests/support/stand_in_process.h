#ifndef WAGTAILWIND_TESTS_SUPPORT_STAND_IN_PROCESS_H_
#define WAGTAILWIND_TESTS_SUPPORT_STAND_IN_PROCESS_H_

#include <memory>
#include <string>
#include <vector>

#include "http/client.h"
#include "support/child_process.h"

namespace wagtailwind::testing {

/// \brief A stand-in program that listens on a free port of the loopback interface.
class StandInProcess {
 public:
  /// \brief Starts `<directory of this program>/<name>` and waits until it listens.
  explicit StandInProcess(const std::string& name, const std::vector<std::string>& options = {});

  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }
  [[nodiscard]] ChildProcess& Process() noexcept { return m_process; }

  /// \brief Sets faults by POST /control.
  void Control(const std::string& json);

  /// \brief Body of a GET.
  [[nodiscard]] std::string Fetch(const std::string& path);

  /// \brief Lines of GET /history.
  [[nodiscard]] std::vector<std::string> History();

 private:
  ChildProcess m_process;
  std::string m_address;
  std::unique_ptr<http::Client> m_client;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_STAND_IN_PROCESS_H_
