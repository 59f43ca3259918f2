#include "http/message.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace wagtailwind::http {

namespace {

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_escape = text[i] == '%' && i + 2 < text.size() &&
                           absl::ascii_isxdigit(static_cast<unsigned char>(text[i + 1])) &&
                           absl::ascii_isxdigit(static_cast<unsigned char>(text[i + 2]));
    if (is_escape) {
      decoded += absl::HexStringToBytes(absl::string_view(text.data() + i + 1, 2));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

absl::string_view ToAbsl(std::string_view text) noexcept { return {text.data(), text.size()}; }

}  // namespace

bool SameName(std::string_view left, std::string_view right) noexcept {
  return absl::EqualsIgnoreCase(ToAbsl(left), ToAbsl(right));
}

std::string PercentEncode(std::string_view text, std::string_view extra_unreserved) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool is_unreserved = absl::ascii_isalnum(byte) || byte == '-' || byte == '_' ||
                               byte == '.' ||
                               extra_unreserved.find(character) != std::string_view::npos;
    if (is_unreserved) {
      encoded.push_back(character);
    } else {
      encoded.append({'%', kHexDigits[byte >> 4U], kHexDigits[byte & 0x0FU]});
    }
  }
  return encoded;
}

std::string_view FindHeader(const std::vector<Header>& headers, std::string_view name) noexcept {
  for (const Header& header : headers) {
    if (SameName(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

std::string QueryParameter(std::string_view query, std::string_view name) {
  for (const absl::string_view pair : absl::StrSplit(ToAbsl(query), '&')) {
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(pair, absl::MaxSplits('=', 1));
    if (parts.first == ToAbsl(name)) {
      return PercentDecode({parts.second.data(), parts.second.size()});
    }
  }
  return {};
}

Response JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace wagtailwind::http
