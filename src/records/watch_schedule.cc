#include "records/watch_schedule.h"

#include <algorithm>

namespace wagtailwind::records {

namespace {

// How often the role and the age are looked at while there is nothing to do.
constexpr std::chrono::milliseconds kPollPeriod{500};
constexpr std::chrono::milliseconds kFirstBackoff{250};
// With 4 s at most, a watcher notices the end of an outage within the 7 s of a change.
constexpr std::uint32_t kMaxDoublings = 4;

}  // namespace

WatchSchedule::Step WatchSchedule::Next(SteadyTime now, bool is_watcher,
                                        std::optional<std::chrono::milliseconds> confirmation_age) {
  if (now < m_not_before) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_not_before - now);
    return {Action::kWait, std::min(wait, kPollPeriod)};
  }
  if (is_watcher) {
    m_next_read.reset();
    return {Action::kWatch, {}};
  }
  if (confirmation_age && *confirmation_age <= kStaleAge) {
    m_next_read.reset();
    return {Action::kWait, kPollPeriod};
  }
  // The first read, too, is spread over the whole period: when the watchers fail, all processes
  // become stale at about the same time.
  if (!m_next_read) {
    m_next_read = now + Jitter(kReadPeriod);
  }
  if (now < *m_next_read) {
    return {Action::kWait, kPollPeriod};
  }
  m_next_read = now + kReadPeriod / 2 + Jitter(kReadPeriod);
  return {Action::kRead, {}};
}

void WatchSchedule::Succeeded() noexcept { m_failures = 0; }

void WatchSchedule::Failed(SteadyTime now) {
  m_not_before = now + Jitter(kFirstBackoff * (1U << std::min(m_failures, kMaxDoublings)));
  ++m_failures;
}

std::chrono::milliseconds WatchSchedule::Jitter(std::chrono::milliseconds bound) {
  return std::chrono::milliseconds(1 +
                                   m_random.NextBelow(static_cast<std::uint64_t>(bound.count())));
}

}  // namespace wagtailwind::records
