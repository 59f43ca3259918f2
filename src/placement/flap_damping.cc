#include "placement/flap_damping.h"

#include <chrono>

namespace wagtailwind::placement {

namespace {

// An endpoint with three restarts within five minutes is damped for ten minutes, so that chats are
// not moved to its empty cache after each restart.
constexpr std::chrono::minutes kFlapWindow{5};
constexpr std::chrono::minutes kDampingTime{10};

// Three times the size of the largest pool that the design allows for.
constexpr std::size_t kMaxHistories = 4096;

}  // namespace

bool FlapDamping::Observe(const gossip::Member& member, SteadyTime now) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_histories.find(member.endpoint->endpoint);
  if (found == m_histories.end()) {
    if (m_histories.size() >= kMaxHistories) {
      EvictUnobserved(now);
    }
    if (m_histories.size() < kMaxHistories) {
      m_histories.emplace(member.endpoint->endpoint, History{.incarnation = member.incarnation,
                                                             .first_seen = member.first_seen,
                                                             .last_observed = now});
    }
    return false;
  }
  History& history = found->second;
  history.last_observed = now;
  // A member that was declared dead and recovered has the same incarnation but a new first_seen.
  if (member.incarnation != history.incarnation || member.first_seen != history.first_seen) {
    history.incarnation = member.incarnation;
    history.first_seen = member.first_seen;
    RecordChange(history, now);
  }
  return now < history.damped_until;
}

std::size_t FlapDamping::Size() const {
  const absl::MutexLock lock(&m_mutex);
  return m_histories.size();
}

void FlapDamping::RecordChange(History& history, SteadyTime now) {
  history.changes[history.change_count % kChangesToDamp] = now;
  ++history.change_count;
  const SteadyTime oldest = history.changes[history.change_count % kChangesToDamp];
  if (history.change_count >= kChangesToDamp && now - oldest <= kFlapWindow) {
    history.damped_until = now + kDampingTime;
  }
}

void FlapDamping::EvictUnobserved(SteadyTime now) {
  absl::erase_if(m_histories, [now](const auto& entry) {
    return now - entry.second.last_observed > kDampingTime;
  });
}

}  // namespace wagtailwind::placement
