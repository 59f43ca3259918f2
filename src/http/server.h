#ifndef WAGTAILWIND_HTTP_SERVER_H_
#define WAGTAILWIND_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "http/message.h"

namespace wagtailwind::http {

namespace detail {
struct ListenFailedTag {
  static constexpr const char* kName = "listen_failed";
};
}  // namespace detail

/// \brief Thrown when the server can't listen on its address.
using ListenFailed = wagtailwind::detail::NamedError<detail::ListenFailedTag>;

/// \brief Produces the body of a streamed response. Called from the connection's thread.
class BodySource {
 public:
  virtual ~BodySource() = default;

  /// \brief Blocks until body bytes are available and returns them; an empty string ends the body.
  /// Throws AbortBody to close the connection without completing the body.
  [[nodiscard]] virtual std::string Next() = 0;
};

/// \brief Thrown by BodySource::Next() to close the connection in the middle of the body.
class AbortBody {};

/// \brief Result of a handler: a complete response, or one with a streamed body.
struct HandlerResult {
  Response response;
  /// If set, produces the body; `response.body` is ignored.
  std::shared_ptr<BodySource> stream;
  /// Closes the connection without sending a response.
  bool drop_connection = false;
};

/// \brief Blocking HTTP server with one thread per connection, for the admin listener and for test
/// programs. router::HttpFrontEnd serves the callers.
class Server {
 public:
  using Handler = std::function<HandlerResult(const Request&)>;

  /// \brief Listens on `ip:port`. Throws ListenFailed.
  Server(std::string_view address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// \brief Returns the bound address, including the actual port.
  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }

 private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
  std::string m_address;
};

}  // namespace wagtailwind::http

#endif  // WAGTAILWIND_HTTP_SERVER_H_
