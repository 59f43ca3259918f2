#include "records/watch_schedule.h"

#include <algorithm>

namespace wagtailwind::records {

namespace {

// Interval at which the watcher role and the confirmation age are checked while idle.
constexpr std::chrono::milliseconds kPollPeriod{500};
constexpr std::chrono::milliseconds kFirstBackoff{250};
// Limits the backoff to 4 s, so that after an outage a watcher reconnects within the 7 s in which a
// change has to propagate.
constexpr std::uint32_t kMaxDoublings = 4;

}  // namespace

WatchSchedule::Step WatchSchedule::Next(SteadyTime now, bool is_watcher,
                                        std::optional<std::chrono::milliseconds> confirmation_age) {
  if (now < m_backoff_end) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_backoff_end - now);
    return {Action::kWait, std::min(wait, kPollPeriod)};
  }
  if (is_watcher) {
    m_next_read.reset();
    return {Action::kWatch, {}};
  }
  if (confirmation_age && *confirmation_age <= kMaxConfirmationAge) {
    m_next_read.reset();
    return {Action::kWait, kPollPeriod};
  }
  // The first read is spread over the whole period as well, because all processes become stale at
  // about the same time when the watchers fail.
  if (!m_next_read) {
    m_next_read = now + Jitter(kReadPeriod);
  }
  if (now < *m_next_read) {
    return {Action::kWait, kPollPeriod};
  }
  m_next_read = now + kReadPeriod / 2 + Jitter(kReadPeriod);
  return {Action::kRead, {}};
}

void WatchSchedule::OnSuccess() noexcept { m_failures = 0; }

void WatchSchedule::OnFailure(SteadyTime now) {
  m_backoff_end = now + Jitter(kFirstBackoff * (1U << std::min(m_failures, kMaxDoublings)));
  ++m_failures;
}

std::chrono::milliseconds WatchSchedule::Jitter(std::chrono::milliseconds bound) {
  return std::chrono::milliseconds(1 +
                                   m_random.NextBelow(static_cast<std::uint64_t>(bound.count())));
}

}  // namespace wagtailwind::records
