#ifndef WAGTAILWIND_FORWARD_CONFIGURATION_FOLLOWER_H_
#define WAGTAILWIND_FORWARD_CONFIGURATION_FOLLOWER_H_

#include <functional>
#include <string_view>
#include <vector>

#include "forward/deployment_adapter.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"

namespace wagtailwind::forward {

/// \brief Applies each newer configuration from the key-value service, never an older one.
class ConfigurationFollower final : public FeedListener {
 public:
  /// \brief The references must outlive the object.
  ConfigurationFollower(ForwardContext& context, const DeploymentAdapter& adapter);

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;
  void OnServiceRestored() override;

 private:
  /// Applies the configuration in the item if it is newer. Returns false if the item is the newest
  /// one and can't be decoded.
  [[nodiscard]] bool ApplyItem(const platform::KeyValueItem& item);

  ForwardContext& m_context;
  const DeploymentAdapter& m_adapter;
  /// Revision of the newest item in the current era of the service.
  platform::Revision m_revision = 0;
  /// The newest configuration could not be decoded, so the one in force can't be confirmed.
  bool m_newest_unreadable = false;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CONFIGURATION_FOLLOWER_H_
