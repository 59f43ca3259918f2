#ifndef WAGTAILWIND_TESTS_HISTORIES_TOKEN_TEXT_H_
#define WAGTAILWIND_TESTS_HISTORIES_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailwind::histories {

/// \brief What is wrong with the text of an engine stand-in.
struct TextReport {
  /// Tokens in order from 0, without gap or overlap.
  std::uint32_t tokens = 0;
  /// Empty, or what makes the text another caller's or a mixture.
  std::string crossed;
  /// Empty, or where the order breaks.
  std::string broken;
};

/// \brief Reads tokens `<body hash>/<generation>/<n>` that are separated by blanks.
[[nodiscard]] TextReport ReadTokenText(std::string_view text, std::string_view body_hash);

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_TOKEN_TEXT_H_
