#include "forward/header_rules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace wagtailwind::forward {

namespace {

// Hop-by-hop fields (RFC 9110, section 7.6.1), and the fields that describe the length of the body,
// which the next sender sets itself.
constexpr std::array<std::string_view, 10> kConnectionFields = {
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "TE", "Transfer-Encoding",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length"};

std::string_view Trim(std::string_view text) noexcept {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Removes the text up to the next comma and returns it, trimmed.
std::string_view PopListItem(std::string_view& list) noexcept {
  const std::size_t comma = std::min(list.find(','), list.size());
  const std::string_view item = Trim(list.substr(0, comma));
  list.remove_prefix(std::min(comma + 1, list.size()));
  return item;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) noexcept {
  Number number = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = error == std::errc() && rest == text.data() + text.size() && !text.empty();
  return whole ? std::optional(number) : std::nullopt;
}

// Range of paces in percent. A machine outside of it does not work or does not measure.
constexpr double kMinPacePercent = 1;
constexpr double kMaxPacePercent = 10'000;

constexpr double kPercent = 100;

/// Parses a pace in percent as a multiple of the usual time; empty if it is malformed.
std::optional<double> ParsePace(std::string_view text) noexcept {
  const auto percent = ParseNumber<double>(text);
  // A comparison with NaN is false.
  const bool in_range = percent && *percent >= kMinPacePercent && *percent <= kMaxPacePercent;
  return in_range ? std::optional(*percent / kPercent) : std::nullopt;
}

}  // namespace

std::vector<http::Header> EndToEndHeaders(const std::vector<http::Header>& headers) {
  std::vector<std::string_view> dropped(kConnectionFields.begin(), kConnectionFields.end());
  for (const http::Header& header : headers) {
    if (http::SameName(header.name, "Connection")) {
      for (std::string_view list = header.value; !list.empty();) {
        dropped.push_back(PopListItem(list));
      }
    }
  }
  std::vector<http::Header> kept;
  kept.reserve(headers.size());
  for (const http::Header& header : headers) {
    const bool drop = std::any_of(dropped.begin(), dropped.end(), [&header](std::string_view name) {
      return http::SameName(name, header.name);
    });
    if (!drop) {
      kept.push_back(header);
    }
  }
  return kept;
}

std::size_t CountHeaders(const std::vector<http::Header>& headers, std::string_view name) noexcept {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(),
      [name](const http::Header& header) { return http::SameName(header.name, name); }));
}

std::optional<std::chrono::milliseconds> ParseMilliseconds(std::string_view text) noexcept {
  const auto number = ParseNumber<std::int64_t>(Trim(text));
  if (!number || *number < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*number);
}

std::optional<std::chrono::milliseconds> KeepAliveTimeout(std::string_view text) noexcept {
  constexpr std::string_view kTimeout = "timeout=";
  while (!text.empty()) {
    const std::string_view item = PopListItem(text);
    if (item.starts_with(kTimeout)) {
      const auto seconds = ParseNumber<std::uint32_t>(item.substr(kTimeout.size()));
      return seconds ? std::optional(std::chrono::seconds(*seconds)) : std::nullopt;
    }
  }
  return std::nullopt;
}

std::optional<balancing::LoadReport> ParseLoad(std::string_view text) noexcept {
  const auto running = ParseNumber<std::uint32_t>(PopListItem(text));
  const auto waiting = ParseNumber<std::uint32_t>(PopListItem(text));
  const auto slots = ParseNumber<std::uint32_t>(PopListItem(text));
  if (!running || !waiting || !slots) {
    return std::nullopt;
  }
  return balancing::LoadReport{.running = *running,
                               .waiting = *waiting,
                               .slots = *slots,
                               .pace = ParsePace(PopListItem(text))};
}

bool HasMalformedPace(std::string_view text) noexcept {
  constexpr int kFiguresBeforePace = 3;
  for (int i = 0; i < kFiguresBeforePace; ++i) {
    (void)PopListItem(text);
  }
  return !text.empty() && !ParsePace(PopListItem(text));
}

}  // namespace wagtailwind::forward
