#include "gossip/instance_list_poller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "gossip/log_events.h"

namespace wagtailwind::gossip {

namespace {

using std::chrono::milliseconds;

// A leaving instance must be detected within seconds, but the total rate of reads must be bounded.
// All processes together make 8 reads per second up to 480 processes; above that number the longest
// period determines the rate.
constexpr milliseconds kPeriodPerInstance{125};
constexpr milliseconds kShortestPeriod{1'000};
constexpr milliseconds kLongestPeriod{60'000};
// Period until the first list is read. It is short, because a process may know no other members
// before that.
constexpr milliseconds kFirstReadPeriod{3'000};

}  // namespace

InstanceListPoller::InstanceListPoller(platform::InstanceList& list, GossipNode& node,
                                       RandomSource& random)
    : m_list(list), m_node(node), m_random(random), m_thread([this] { Loop(); }) {}

InstanceListPoller::~InstanceListPoller() {
  m_stop.Notify();
  m_thread.join();
}

void InstanceListPoller::ReadOnce() {
  try {
    std::vector<platform::ListedInstance> instances = m_list.Read();
    m_period = std::clamp(kPeriodPerInstance * static_cast<milliseconds::rep>(instances.size()),
                          kShortestPeriod, kLongestPeriod);
    // The node marks a member as leaving only after two lists agree, so a change of the leaving
    // instances is followed by a second read after the shortest period.
    absl::flat_hash_set<InstanceName> leaving;
    for (const platform::ListedInstance& instance : instances) {
      if (instance.leaving) {
        leaving.insert(instance.name);
      }
    }
    if (leaving != m_leaving) {
      m_period = kShortestPeriod;
      m_leaving = std::move(leaving);
    }
    m_node.UpdateInstanceList(std::move(instances));
  } catch (const Error& error) {
    Log(kInstanceListFailed, {{"error", error.name()}, {"message", error.what()}});
  }
}

milliseconds InstanceListPoller::NextDelay() {
  const milliseconds period = m_period.value_or(kFirstReadPeriod);
  // Jitter of 0.8 to 1.2 times the period keeps processes that started together from reading at the
  // same times.
  return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(period.count()) *
                                                     (0.8 + 0.4 * m_random.NextFraction())));
}

void InstanceListPoller::Loop() {
  do {
    ReadOnce();
  } while (!m_stop.WaitForNotificationWithTimeout(absl::FromChrono(NextDelay())));
}

}  // namespace wagtailwind::gossip
