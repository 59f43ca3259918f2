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
struct AnswerLostTag {
  static constexpr const char* kName = "http_answer_lost";
};
}  // namespace detail

/// \brief No connection was made, so no byte of the request was sent.
using NotConnected = wagtailwind::detail::NamedError<detail::NotConnectedTag>;

/// \brief The connection failed or timed out after it was made.
using AnswerLost = wagtailwind::detail::NamedError<detail::AnswerLostTag>;

/// \brief Blocking HTTP client with kept connections. Safe to use from several threads.
class Client {
 public:
  /// \brief Calls go to `ip:port`.
  explicit Client(std::string address);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// \brief Sends a request; `target` is path and query. Throws NotConnected or AnswerLost.
  [[nodiscard]] Response Send(const std::string& method, const std::string& target,
                              const std::string& body, std::chrono::milliseconds timeout,
                              const std::vector<Header>& headers = {});

  /// \brief Sends a request on a connection of its own, so that it goes out at most once: libcurl
  /// repeats a request on its own when a kept connection turns out to be closed.
  [[nodiscard]] Response SendOnce(const std::string& method, const std::string& target,
                                  const std::string& body, std::chrono::milliseconds timeout,
                                  const std::vector<Header>& headers = {});

 private:
  struct Call;
  [[nodiscard]] Response Perform(const Call& call);

  struct Pool;
  std::string m_address;
  std::unique_ptr<Pool> m_pool;
};

}  // namespace wagtailwind::http

#endif  // WAGTAILWIND_HTTP_CLIENT_H_
