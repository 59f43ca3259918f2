#include "gossip/instance_list_joiner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "gossip/log_events.h"

namespace wagtailwind::gossip {

namespace {

using std::chrono::milliseconds;

// A leaving instance must be noticed within seconds, while all processes together make a bounded
// number of reads: 8 a second up to 480 processes, and as many as the longest period gives above.
constexpr milliseconds kPeriodPerInstance{125};
constexpr milliseconds kShortestPeriod{1'000};
constexpr milliseconds kLongestPeriod{60'000};
// Until the first list is read, a process may know nobody.
constexpr milliseconds kFirstReadPeriod{3'000};

}  // namespace

InstanceListJoiner::InstanceListJoiner(platform::InstanceList& list, GossipNode& node,
                                       RandomSource& random)
    : m_list(list), m_node(node), m_random(random), m_thread([this] { Loop(); }) {}

InstanceListJoiner::~InstanceListJoiner() {
  m_stop.Notify();
  m_thread.join();
}

void InstanceListJoiner::ReadOnce() {
  try {
    std::vector<platform::ListedInstance> instances = m_list.Read();
    m_period = std::clamp(kPeriodPerInstance * static_cast<milliseconds::rep>(instances.size()),
                          kShortestPeriod, kLongestPeriod);
    // Leaving is taken from two readings that agree, so the second one follows soon.
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
    m_node.OfferInstances(std::move(instances));
  } catch (const Error& error) {
    Log(kInstanceListFailed, {{"error", error.name()}, {"message", error.what()}});
  }
}

milliseconds InstanceListJoiner::NextDelay() {
  const milliseconds period = m_period.value_or(kFirstReadPeriod);
  // Between 0.8 and 1.2 of the period, so that a fleet that started together does not stay in step.
  return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(period.count()) *
                                                     (0.8 + 0.4 * m_random.Fraction())));
}

void InstanceListJoiner::Loop() {
  do {
    ReadOnce();
  } while (!m_stop.WaitForNotificationWithTimeout(absl::FromChrono(NextDelay())));
}

}  // namespace wagtailwind::gossip
