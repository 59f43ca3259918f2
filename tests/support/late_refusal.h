#ifndef WAGTAILWIND_TESTS_SUPPORT_LATE_REFUSAL_H_
#define WAGTAILWIND_TESTS_SUPPORT_LATE_REFUSAL_H_

#include <string>

namespace wagtailwind::testing {

/// \brief Runs a retry that waits for its timer while another request is refused by the endpoint at
/// which the retry is to run. The refusal has the header lines `fields`, and the router keeps an
/// idle connection to the endpoint. Returns how many requests reach the endpoint after the refusal;
/// -1 if the situation did not arise.
[[nodiscard]] int ArrivalsOfDelayedStep(const std::string& fields);

/// \brief Runs a request that waits for a new connection to an endpoint while another request is
/// refused there. The refusal has the header lines `fields`. Returns how many requests reach the
/// endpoint after the refusal; -1 if the situation did not arise.
[[nodiscard]] int ArrivalsOnOpenedConnection(const std::string& fields);

/// \brief Number of requests that reached an endpoint whose circuit breaker had opened.
struct ProbeArrivals {
  /// From the failures to 1.3 s later. The breaker admits its first probe after 0.5 s.
  int early = 0;
  /// In the 1.7 s after that.
  int late = 0;
};

/// \brief Answers four requests with a failure and the header lines `fields`, which opens the
/// circuit breaker of the only endpoint, and then sends a request each 10 ms.
[[nodiscard]] ProbeArrivals ArrivalsAfterFailures(const std::string& fields);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_LATE_REFUSAL_H_
