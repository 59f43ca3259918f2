#ifndef WAGTAILWIND_GOSSIP_GOSSIP_METRICS_H_
#define WAGTAILWIND_GOSSIP_GOSSIP_METRICS_H_

#include <array>
#include <cstddef>

#include "core/metrics.h"
#include "gossip/datagram.h"

namespace wagtailwind::gossip {

/// \brief Metrics of the gossip protocol. Byte counts include the UDP and IP headers.
class GossipMetrics {
 public:
  explicit GossipMetrics(MetricsRegistry& registry);

  void CountSent(DatagramKind kind, std::size_t bytes) noexcept;
  void CountReceived(DatagramKind kind, std::size_t bytes) noexcept;
  void SetMembers(const std::array<std::size_t, 4>& counts) noexcept;

  Counter& malformed;
  Counter& stale_sender;
  Counter& unknown_sender;
  Counter& over_budget;
  Counter& suspicions;
  Counter& refutations;
  Counter& deaths;
  Counter& recoveries;
  Counter& probe_failures;
  Counter& configuration_pulls;
  Counter& member_pulls;
  Counter& failed_pulls;

 private:
  struct Traffic {
    Counter* datagrams;
    Counter* bytes;
  };
  std::array<Traffic, 4> m_sent;
  std::array<Traffic, 4> m_received;
  std::array<Gauge*, 4> m_members;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_GOSSIP_METRICS_H_
