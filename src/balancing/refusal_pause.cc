#include "balancing/refusal_pause.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

using namespace std::chrono_literals;

// Time after the end of a pause in which requests return gradually. If all came back at once, the
// endpoint would have to refuse again.
constexpr std::chrono::seconds kReturnPeriod{2};

// Longer than an endpoint lives. Bounds the arithmetic on times.
constexpr std::chrono::hours kLongestPause{24};

double Seconds(std::chrono::nanoseconds time) noexcept {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

std::optional<std::chrono::nanoseconds> ParsePauseTime(std::string_view text) noexcept {
  double seconds = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  if (result.ec != std::errc() || result.ptr != end || !std::isfinite(seconds) ||
      std::signbit(seconds)) {
    return std::nullopt;
  }
  const std::chrono::duration<double> time(std::min(seconds, Seconds(kLongestPause)));
  return std::chrono::ceil<std::chrono::nanoseconds>(time);
}

void RefusalPause::Extend(std::chrono::nanoseconds time, double slots, SteadyTime now) noexcept {
  const SteadyTime end = now + time;
  if (end > m_end || IsMutantEnabled("forwarder_shortens_pauses")) {
    m_end = end;
    m_returned = 0;
    m_return_rate = slots / Seconds(kReturnPeriod);
  }
}

bool RefusalPause::IsReturning(SteadyTime now) const noexcept {
  return m_end != SteadyTime{} && now < m_end + kReturnPeriod;
}

bool RefusalPause::IsAvailable(SteadyTime now) const noexcept {
  return WaitTime(now) <= 0ns || IsMutantEnabled("forwarder_ignores_pauses");
}

void RefusalPause::OnSent(SteadyTime now) noexcept {
  if (IsReturning(now) && !IsActive(now)) {
    ++m_returned;
  }
}

std::chrono::nanoseconds RefusalPause::WaitTime(SteadyTime now) const noexcept {
  if (IsActive(now)) {
    return m_end - now;
  }
  if (!IsReturning(now) || m_returned <= m_return_rate * Seconds(now - m_end)) {
    return 0ns;
  }
  const std::chrono::nanoseconds rest = m_end + kReturnPeriod - now;
  if (m_return_rate <= 0) {
    return rest;
  }
  const std::chrono::duration<double> next(m_returned / m_return_rate - Seconds(now - m_end));
  return std::min(rest, std::chrono::ceil<std::chrono::nanoseconds>(next));
}

}  // namespace wagtailwind::balancing
