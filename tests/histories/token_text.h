#ifndef WAGTAILWIND_TESTS_HISTORIES_TOKEN_TEXT_H_
#define WAGTAILWIND_TESTS_HISTORIES_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailwind::histories {

/// \brief Result of checking the text of an engine stand-in.
struct TokenTextReport {
  /// Number of tokens that follow each other from 0 without gap or overlap.
  std::uint32_t tokens = 0;
  /// Why the text belongs to another request or mixes two generations; empty if it doesn't.
  std::string crossed;
  /// Where the token sequence is malformed or out of order; empty if it is correct.
  std::string broken;
};

/// \brief Checks a text of tokens `<body hash>/<generation>/<n>` separated by blanks.
[[nodiscard]] TokenTextReport CheckTokenText(std::string_view text, std::string_view body_hash);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_TOKEN_TEXT_H_
