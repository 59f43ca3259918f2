#include "gossip/instance_list_joiner.h"

#include "absl/time/time.h"
#include "gossip/log_events.h"

namespace wagtailwind::gossip {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeriod{60'000};
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

bool InstanceListJoiner::ReadOnce() {
  try {
    m_node.OfferInstances(m_list.Read());
    return true;
  } catch (const Error& error) {
    Log(kInstanceListFailed, {{"error", error.name()}, {"message", error.what()}});
    return false;
  }
}

milliseconds InstanceListJoiner::NextDelay(bool read_before) {
  const milliseconds period = read_before ? kPeriod : kFirstReadPeriod;
  // Between 0.8 and 1.2 of the period, so that a fleet that started together does not stay in step.
  return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(period.count()) *
                                                     (0.8 + 0.4 * m_random.Fraction())));
}

void InstanceListJoiner::Loop() {
  bool read_before = false;
  do {
    read_before = ReadOnce() || read_before;
  } while (!m_stop.WaitForNotificationWithTimeout(absl::FromChrono(NextDelay(read_before))));
}

}  // namespace wagtailwind::gossip
