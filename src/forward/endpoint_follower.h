#ifndef WAGTAILWIND_FORWARD_ENDPOINT_FOLLOWER_H_
#define WAGTAILWIND_FORWARD_ENDPOINT_FOLLOWER_H_

#include <string_view>
#include <vector>

#include "forward/deployment_adapter.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"

namespace wagtailwind::forward {

/// \brief Keeps the registry of endpoints like the list in the key-value service.
class EndpointFollower final : public FeedListener {
 public:
  /// \brief The references outlive the object.
  EndpointFollower(ForwardContext& context, const DeploymentAdapter& adapter);

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime held_at) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime held_at) override;
  void OnFeedLost() override;
  void OnFeedRegained(SteadyTime last_failed) override;

 private:
  /// Empty if the entry names no endpoint to use.
  [[nodiscard]] std::optional<EndpointRecord> Decode(const platform::KeyValueItem& item) const;
  [[nodiscard]] std::string_view NameOf(const platform::KeyValueItem& item) const noexcept;

  ForwardContext& m_context;
  const DeploymentAdapter& m_adapter;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ENDPOINT_FOLLOWER_H_
