#ifndef WAGTAILWIND_HTTP_CLIENT_H_
#define WAGTAILWIND_HTTP_CLIENT_H_

#include <chrono>
#include <memory>
#include <string>

#include "core/error.h"
#include "http/message.h"

namespace wagtailwind::http {

namespace detail {
struct NotConnectedTag {
  static constexpr const char* kName = "http_not_connected";
};
struct ResponseLostTag {
  static constexpr const char* kName = "http_answer_lost";
};
}  // namespace detail

/// \brief Thrown when no connection could be made; no byte of the request was sent.
using NotConnected = wagtailwind::detail::NamedError<detail::NotConnectedTag>;

/// \brief Thrown when the connection failed or timed out after it was made; the server may have
/// processed the request.
using ResponseLost = wagtailwind::detail::NamedError<detail::ResponseLostTag>;

/// \brief Blocking HTTP client. Sends each request on a connection of its own, so that it is sent
/// at most once, and that no late copy of an earlier response is taken for its response.
/// Thread-safe.
class Client {
 public:
  /// \brief Creates a client for the server at `ip:port`.
  explicit Client(std::string address);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// \brief Sends a request and returns the response. `target` is path and query. Throws
  /// NotConnected, or ResponseLost also for a response that exceeds 32 MiB.
  [[nodiscard]] Response Send(const std::string& method, const std::string& target,
                              const std::string& body, std::chrono::milliseconds timeout,
                              const std::vector<Header>& headers = {});

 private:
  struct Pool;
  std::string m_address;
  std::unique_ptr<Pool> m_pool;
};

}  // namespace wagtailwind::http

#endif  // WAGTAILWIND_HTTP_CLIENT_H_
