#ifndef WAGTAILWIND_HTTP_MESSAGE_H_
#define WAGTAILWIND_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace wagtailwind::http {

/// \brief An HTTP header field.
struct Header {
  std::string name;
  std::string value;
};

/// \brief Returns whether two header names are equal, ignoring case.
[[nodiscard]] bool SameName(std::string_view left, std::string_view right) noexcept;

/// \brief Percent-encodes every byte except letters, digits, `-`, `_`, `.` and the characters of
/// `extra_unreserved`.
[[nodiscard]] std::string PercentEncode(std::string_view text,
                                        std::string_view extra_unreserved = {});

/// \brief Returns the value of the first header with this name, ignoring case; empty if there is
/// none.
[[nodiscard]] std::string_view FindHeader(const std::vector<Header>& headers,
                                          std::string_view name) noexcept;

/// \brief An HTTP request as passed to a handler.
struct Request {
  std::string method;
  /// Path without query.
  std::string path;
  /// Query without the question mark.
  std::string query;
  std::vector<Header> headers;
  std::string body;
};

/// \brief Returns the decoded value of a query parameter; empty if absent.
[[nodiscard]] std::string QueryParameter(std::string_view query, std::string_view name);

/// \brief A complete HTTP response.
struct Response {
  int status = 200;
  std::vector<Header> headers;
  std::string body;
};

/// \brief Creates a response with a JSON body.
[[nodiscard]] Response JsonResponse(int status, std::string body);

}  // namespace wagtailwind::http

#endif  // WAGTAILWIND_HTTP_MESSAGE_H_
