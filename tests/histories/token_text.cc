#include "histories/token_text.h"

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace wagtailwind::histories {

TokenTextReport CheckTokenText(std::string_view text, std::string_view body_hash) {
  TokenTextReport report;
  std::string generation;
  const absl::string_view view(text.data(), text.size());
  for (const absl::string_view token : absl::StrSplit(view, ' ', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(token, '/');
    std::uint32_t number = 0;
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[2], &number)) {
      report.broken = "malformed token " + std::string(token);
      return report;
    }
    if (parts[0] != body_hash) {
      report.crossed = "token of another request: " + std::string(token);
      return report;
    }
    if (!generation.empty() && parts[1] != generation) {
      report.crossed = "generations " + generation + " and " + parts[1] + " joined";
      return report;
    }
    generation = parts[1];
    if (number != report.tokens) {
      report.broken = "token " + parts[2] + " follows " + std::to_string(report.tokens) + " tokens";
      return report;
    }
    ++report.tokens;
  }
  return report;
}

}  // namespace wagtailwind::histories
