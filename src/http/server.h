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

/// \brief The address can't be listened on.
using ListenFailed = wagtailwind::detail::NamedError<detail::ListenFailedTag>;

/// \brief Produces the body of a streamed response; runs in the connection's thread.
class BodySource {
 public:
  virtual ~BodySource() = default;

  /// \brief The next bytes, after waiting for them; empty ends the body. Throws AbortBody to close
  /// the connection without a proper end.
  [[nodiscard]] virtual std::string Next() = 0;
};

/// \brief Thrown by BodySource::Next() to cut the connection.
class AbortBody {};

/// \brief What a handler returns: a whole response, or one whose body is streamed.
struct HandlerResult {
  Response response;
  /// If set, the body comes from here and `response.body` is not used.
  std::shared_ptr<BodySource> stream;
  /// Close the connection without any response.
  bool drop_connection = false;
};

/// \brief Blocking HTTP server with a thread for each connection: for the admin listener and for
/// test programs. The callers' listener is router::HttpFrontEnd.
class Server {
 public:
  using Handler = std::function<HandlerResult(const Request&)>;

  /// \brief Listens on `ip:port`. Throws ListenFailed.
  Server(std::string_view address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// \brief The address with the port that was bound.
  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }

 private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
  std::string m_address;
};

}  // namespace wagtailwind::http

#endif  // WAGTAILWIND_HTTP_SERVER_H_
