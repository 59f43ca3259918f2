#include "gossip/gossip_metrics.h"

#include <string>

#include "gossip/member_status.h"

namespace wagtailwind::gossip {

namespace {

constexpr std::array<const char*, 4> kKindNames{"probe", "acknowledgement", "probe_request",
                                                "push"};

std::string Labelled(const char* name, const char* direction, const char* kind) {
  return std::string(name) + "{direction=\"" + direction + "\",kind=\"" + kind + "\"}";
}

Counter& DroppedCounter(MetricsRegistry& registry, const char* reason) {
  return registry.GetCounter(std::string("gossip_dropped_total{reason=\"") + reason + "\"}");
}

}  // namespace

GossipMetrics::GossipMetrics(MetricsRegistry& registry)
    : malformed(DroppedCounter(registry, "malformed")),
      stale_sender(DroppedCounter(registry, "stale_sender")),
      unknown_sender(DroppedCounter(registry, "unknown_sender")),
      over_budget(DroppedCounter(registry, "over_budget")),
      suspicions(registry.GetCounter("gossip_suspicions_total")),
      refutations(registry.GetCounter("gossip_refutations_total")),
      deaths(registry.GetCounter("gossip_deaths_total")),
      recoveries(registry.GetCounter("gossip_recoveries_total")),
      probe_failures(registry.GetCounter("gossip_probe_failures_total")),
      configuration_pulls(registry.GetCounter("gossip_pulls_total{kind=\"configuration\"}")),
      member_pulls(registry.GetCounter("gossip_pulls_total{kind=\"members\"}")),
      failed_pulls(registry.GetCounter("gossip_failed_pulls_total")),
      m_sent(),
      m_received(),
      m_members() {
  for (std::size_t kind = 0; kind < kKindNames.size(); ++kind) {
    const auto traffic = [&registry, kind](const char* direction) {
      return Traffic{
          &registry.GetCounter(Labelled("gossip_datagrams_total", direction, kKindNames.at(kind))),
          &registry.GetCounter(Labelled("gossip_bytes_total", direction, kKindNames.at(kind)))};
    };
    m_sent.at(kind) = traffic("sent");
    m_received.at(kind) = traffic("received");
  }
  for (std::size_t state = 0; state < m_members.size(); ++state) {
    m_members.at(state) = &registry.GetGauge(std::string("gossip_members{state=\"") +
                                             StateName(static_cast<MemberState>(state)) + "\"}");
  }
}

void GossipMetrics::CountSent(DatagramKind kind, std::size_t bytes) noexcept {
  const Traffic& traffic = m_sent[static_cast<std::size_t>(kind)];
  traffic.datagrams->Add();
  traffic.bytes->Add(bytes + kHeaderBytes);
}

void GossipMetrics::CountReceived(DatagramKind kind, std::size_t bytes) noexcept {
  const Traffic& traffic = m_received[static_cast<std::size_t>(kind)];
  traffic.datagrams->Add();
  traffic.bytes->Add(bytes + kHeaderBytes);
}

void GossipMetrics::SetMembers(const std::array<std::size_t, 4>& counts) noexcept {
  for (std::size_t state = 0; state < counts.size(); ++state) {
    m_members[state]->Set(static_cast<double>(counts[state]));
  }
}

}  // namespace wagtailwind::gossip
