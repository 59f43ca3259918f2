#ifndef WAGTAILWIND_FORWARD_WIRE_NAMES_H_
#define WAGTAILWIND_FORWARD_WIRE_NAMES_H_

#include <string>
#include <vector>

namespace wagtailwind::forward {

/// \brief Names of the header fields and paths that the forwarder reads or sets. They belong to the
/// deployment's protocol and come from its adapter.
struct WireNames {
  /// Identifies one attempt of a caller; answers repeat it.
  std::string attempt_id;
  /// Milliseconds that the caller or router still waits.
  std::string deadline;
  /// The caller's API key.
  std::string api_key;
  /// The organisation that holds the key, for the endpoint.
  std::string organisation;
  /// Endpoint that alone may run the request.
  std::string expected_endpoint;
  /// Present if the endpoint has not run the request.
  std::string not_run;
  /// The endpoint's signature under its answer.
  std::string signature;
  /// Running, waiting and possible requests of the endpoint, separated by commas.
  std::string load;
  /// Urgency of the request at the endpoint.
  std::string priority;
  /// Parts of the prompt, as `id:tokens`, separated by commas.
  std::string prompt_parts;
  /// Address of an endpoint from which the prompt's cached parts are to be fetched.
  std::string fetch_from;
  /// Model that is to serve the request.
  std::string model;
  /// Fields that a caller may not set.
  std::vector<std::string> reserved;
  /// Path that tells the platform's balancer whether the router is ready.
  std::string readiness_path;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_WIRE_NAMES_H_
