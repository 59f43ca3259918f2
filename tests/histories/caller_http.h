#ifndef WAGTAILWIND_TESTS_HISTORIES_CALLER_HTTP_H_
#define WAGTAILWIND_TESTS_HISTORIES_CALLER_HTTP_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "http/message.h"

namespace wagtailwind::histories {

/// \brief One HTTP request of a caller.
struct CallerRequest {
  std::string address;
  std::string method = "POST";
  std::string path;
  std::vector<http::Header> headers;
  std::string body;
  std::chrono::milliseconds timeout{0};
  /// The caller hangs up after this many bytes of the body; 0: never.
  std::size_t hang_up_after = 0;
  /// Called with each piece of the body.
  std::function<void()> on_bytes;
};

/// \brief The received response, which may be truncated.
struct CallerResponse {
  bool connected = false;
  /// The transfer ended without an error.
  bool complete = false;
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
};

/// \brief Sends one request on a new connection.
[[nodiscard]] CallerResponse SendAsCaller(const CallerRequest& request);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CALLER_HTTP_H_
