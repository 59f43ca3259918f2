#ifndef WAGTAILWIND_FORWARD_EVACUATION_FOLLOWER_H_
#define WAGTAILWIND_FORWARD_EVACUATION_FOLLOWER_H_

#include <vector>

#include "forward/deployment_adapter.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"
#include "net/event_loop.h"

namespace wagtailwind::forward {

/// \brief Keeps the set of evacuated availability zones in sync with the keys that operators write.
/// While the key-value service is away, the last known set stays in force. So it does for a short
/// time after the service has come back from an older copy, until the operators have written again
/// what the copy does not contain.
class EvacuationFollower final : public FeedListener {
 public:
  /// \brief The references must outlive the object.
  EvacuationFollower(ForwardContext& context, const DeploymentAdapter& adapter);

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;
  void OnServiceRestored() override;

 private:
  using Zones = std::vector<AvailabilityZoneName>;

  [[nodiscard]] AvailabilityZoneName ZoneOf(const platform::KeyValueItem& item) const;
  /// Applies a change of the zone's key to a set of zones.
  void Apply(const platform::KeyValueItem& change, Zones& zones) const;
  void OnRewriteTimer();

  ForwardContext& m_context;
  const DeploymentAdapter& m_adapter;
  /// The set by the keys of the service.
  Zones m_stored;
  /// Runs while the operators may still write again what the service has lost.
  net::Timer m_rewrite_timer;
  bool m_is_rewritten = true;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_EVACUATION_FOLLOWER_H_
