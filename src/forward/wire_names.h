#ifndef WAGTAILWIND_FORWARD_WIRE_NAMES_H_
#define WAGTAILWIND_FORWARD_WIRE_NAMES_H_

#include <string>
#include <vector>

namespace wagtailwind::forward {

/// \brief Names of the header fields and paths that the forwarder reads or sets. They are part of
/// the deployment's protocol and are provided by its adapter.
struct WireNames {
  /// Identifies one attempt of a caller; responses repeat it.
  std::string attempt_id;
  /// Remaining time in milliseconds that the caller or router waits.
  std::string deadline;
  /// The caller's API key.
  std::string api_key;
  /// The organisation that owns the key, passed to the endpoint.
  std::string organisation;
  /// The only endpoint that may run the request.
  std::string expected_endpoint;
  /// Present if the endpoint has not run the request.
  std::string not_run;
  /// The endpoint's signature of its response.
  std::string signature;
  /// Running requests, waiting requests and slots of the endpoint, separated by commas.
  std::string load;
  /// Requests a second that the endpoint takes from all routers together; absent if it has no
  /// limit.
  std::string request_limit;
  /// `1` in each answer of an endpoint that is about to leave.
  std::string leaving;
  /// Priority of the request at the endpoint.
  std::string priority;
  /// Parts of the prompt, as `id:tokens`, separated by commas.
  std::string prompt_parts;
  /// Number of tokens of the prompt, and largest number of tokens of the answer, separated by a
  /// comma.
  std::string token_counts;
  /// Address of an endpoint from which to fetch the prompt's cached parts.
  std::string fetch_from;
  /// Model that must serve the request.
  std::string model;
  /// Fields that a caller may not set.
  std::vector<std::string> reserved;
  /// Path at which the platform's load balancer checks whether the router is ready.
  std::string readiness_path;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_WIRE_NAMES_H_
