#include "balancing/request_cost.h"

#include <charconv>
#include <cstdint>

namespace wagtailwind::balancing {

namespace {

// An engine processes the tokens of a prompt together, and generates those of an answer one after
// the other. The operators weigh an answer's token like this many of a prompt.
constexpr double kAnswerTokenCost = 10.0;

// Weight of one request in the average, which covers some hundred requests.
constexpr double kSmoothingFactor = 1.0 / 256;

// Requests of the same cost are all costly, although the average is rounded.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

std::optional<double> ParseRequestCost(std::string_view token_counts) noexcept {
  std::uint64_t prompt = 0;
  std::uint64_t answer = 0;
  const char* const end = token_counts.data() + token_counts.size();
  const auto first = std::from_chars(token_counts.data(), end, prompt);
  if (first.ec != std::errc() || first.ptr == end || *first.ptr != ',') {
    return std::nullopt;
  }
  const auto second = std::from_chars(first.ptr + 1, end, answer);
  if (second.ec != std::errc() || second.ptr != end) {
    return std::nullopt;
  }
  return static_cast<double>(prompt) + kAnswerTokenCost * static_cast<double>(answer);
}

bool RequestCosts::IsCostly(double cost) noexcept {
  if (!m_has_mean) {
    m_has_mean = true;
    m_mean = cost;
  }
  m_mean += kSmoothingFactor * (cost - m_mean);
  return cost >= m_mean * (1 - kRoundingTolerance);
}

}  // namespace wagtailwind::balancing
