#ifndef WAGTAILWIND_FORWARD_CONFIGURATION_FOLLOWER_H_
#define WAGTAILWIND_FORWARD_CONFIGURATION_FOLLOWER_H_

#include <functional>
#include <string_view>
#include <vector>

#include "forward/deployment_adapter.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"

namespace wagtailwind::forward {

/// \brief Puts each newer configuration in force, and never an older one.
class ConfigurationFollower final : public FeedListener {
 public:
  /// \brief The references outlive the object.
  ConfigurationFollower(ForwardContext& context, const DeploymentAdapter& adapter);

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime held_at) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime held_at) override;

 private:
  /// False if the item is the newest configuration and can't be read.
  [[nodiscard]] bool Take(const platform::KeyValueItem& item);

  ForwardContext& m_context;
  const DeploymentAdapter& m_adapter;
  platform::Revision m_revision = 0;
  /// The newest configuration could not be read, so nothing confirms the one in force.
  bool m_newest_unreadable = false;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CONFIGURATION_FOLLOWER_H_
