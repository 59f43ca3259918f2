#ifndef WAGTAILWIND_TESTS_SOAK_ANSWER_TEXT_H_
#define WAGTAILWIND_TESTS_SOAK_ANSWER_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace wagtailwind::soak {

/// \brief Returns the body of an endpoint's answer to a call. Each line holds the attempt id and
/// the line number, so that the answer to another request and a mix of two answers are detected.
[[nodiscard]] inline std::string CallBody(std::string_view attempt, std::size_t lines) {
  std::string body;
  for (std::size_t i = 0; i < lines; ++i) {
    body.append(attempt).append(" ").append(std::to_string(i)).append("\n");
  }
  return body;
}

/// \brief Returns one event of an endpoint's stream. Event numbers start at 1.
[[nodiscard]] inline std::string StreamEvent(std::string_view attempt, std::size_t number) {
  return "id: " + std::to_string(number) + "\ndata: " + std::string(attempt) + " " +
         std::to_string(number) + "\n\n";
}

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_ANSWER_TEXT_H_
