#ifndef WAGTAILWIND_TESTS_SOAK_ANSWER_TEXT_H_
#define WAGTAILWIND_TESTS_SOAK_ANSWER_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace wagtailwind::soak {

/// \brief Body of an endpoint's answer to a call. Each line names the request and its place, so
/// that a body of another request, or one joined from two answers, differs.
[[nodiscard]] inline std::string CallBody(std::string_view attempt, std::size_t lines) {
  std::string body;
  for (std::size_t i = 0; i < lines; ++i) {
    body.append(attempt).append(" ").append(std::to_string(i)).append("\n");
  }
  return body;
}

/// \brief One event of an endpoint's stream; events count from 1.
[[nodiscard]] inline std::string StreamEvent(std::string_view attempt, std::size_t number) {
  return "id: " + std::to_string(number) + "\ndata: " + std::string(attempt) + " " +
         std::to_string(number) + "\n\n";
}

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_ANSWER_TEXT_H_
