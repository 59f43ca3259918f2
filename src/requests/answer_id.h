#ifndef WAGTAILWIND_REQUESTS_ANSWER_ID_H_
#define WAGTAILWIND_REQUESTS_ANSWER_ID_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace wagtailwind::requests {

/// \brief Identifies a stored answer and the agent process that stores it.
struct AnswerId {
  EndpointName endpoint;
  Incarnation agent_incarnation = 0;
  /// 128 random bits, so that an id can't be guessed.
  RequestId number{};

  friend bool operator==(const AnswerId&, const AnswerId&) = default;
};

/// \brief Formats an id as `<endpoint>~<incarnation>~<number>`, with both numbers in hexadecimal.
/// The text contains no slash.
[[nodiscard]] std::string ToText(const AnswerId& id);

/// \brief Parses the output of ToText(); empty if malformed.
[[nodiscard]] std::optional<AnswerId> ParseAnswerId(std::string_view text);

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_ANSWER_ID_H_
