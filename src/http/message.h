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

/// \brief Whether two field names are the same in any case.
[[nodiscard]] bool SameName(std::string_view left, std::string_view right) noexcept;

/// \brief The text with each byte escaped that is no letter, digit, `-`, `_` or `.`, and not one of
/// `also_plain`.
[[nodiscard]] std::string PercentEncode(std::string_view text, std::string_view also_plain = {});

/// \brief Value of the first header with this name, in any case; empty if there is none.
[[nodiscard]] std::string_view FindHeader(const std::vector<Header>& headers,
                                          std::string_view name) noexcept;

/// \brief A request as a handler sees it.
struct Request {
  std::string method;
  /// Path without query.
  std::string path;
  /// Query without the question mark.
  std::string query;
  std::vector<Header> headers;
  std::string body;
};

/// \brief Value of a query parameter, decoded; empty if absent.
[[nodiscard]] std::string QueryParameter(std::string_view query, std::string_view name);

/// \brief A whole response.
struct Response {
  int status = 200;
  std::vector<Header> headers;
  std::string body;
};

/// \brief A JSON response.
[[nodiscard]] Response JsonResponse(int status, std::string body);

}  // namespace wagtailwind::http

#endif  // WAGTAILWIND_HTTP_MESSAGE_H_
