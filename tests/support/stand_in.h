#ifndef WAGTAILWIND_TESTS_SUPPORT_STAND_IN_H_
#define WAGTAILWIND_TESTS_SUPPORT_STAND_IN_H_

#include <string>

#include "http/client.h"
#include "support/child_process.h"

namespace wagtailwind::testing {

/// \brief A stand-in program on a free port of the loopback address.
class StandIn {
 public:
  /// \brief Starts the program at `path` and waits until it listens.
  explicit StandIn(const std::string& path);

  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }

  /// \brief Sends `POST /control`; false if it was not accepted.
  bool Control(const std::string& json);

  /// \brief Body of a GET.
  [[nodiscard]] std::string Fetch(const std::string& path);

 private:
  ChildProcess m_process;
  std::string m_address;
  http::Client m_client;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_STAND_IN_H_
