#ifndef WAGTAILWIND_FORWARD_ENDPOINT_FOLLOWER_H_
#define WAGTAILWIND_FORWARD_ENDPOINT_FOLLOWER_H_

#include <string_view>
#include <vector>

#include "forward/deployment_adapter.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"

namespace wagtailwind::forward {

/// \brief Keeps the endpoint registry in sync with the list in the key-value service.
class EndpointFollower final : public FeedListener {
 public:
  /// \brief The references must outlive the object.
  EndpointFollower(ForwardContext& context, const DeploymentAdapter& adapter);

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;
  void OnFeedLost() override;
  void OnFeedRegained(SteadyTime last_failed) override;
  void OnServiceRestored() override;

 private:
  /// Records for how long the endpoint of an entry is still cold.
  void NoteColdTime(const balancing::EndpointRecord& record);
  /// Decodes an entry; logs and returns empty if it does not describe a usable endpoint.
  [[nodiscard]] std::optional<balancing::EndpointRecord> Decode(
      const platform::KeyValueItem& item) const;
  [[nodiscard]] std::string_view NameOf(const platform::KeyValueItem& item) const noexcept;

  ForwardContext& m_context;
  const DeploymentAdapter& m_adapter;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ENDPOINT_FOLLOWER_H_
