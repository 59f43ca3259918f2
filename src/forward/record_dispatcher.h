#ifndef WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_
#define WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_

#include <string_view>
#include <vector>

#include "forward/prefix_feed.h"

namespace wagtailwind::forward {

/// \brief Passes the records of one feed on to the followers of the configuration, of the list of
/// endpoints, and of the records of other routers.
class RecordDispatcher final : public FeedListener {
 public:
  /// \brief All arguments must outlive the object.
  RecordDispatcher(std::string_view endpoint_prefix, std::string_view router_prefix,
                   FeedListener& configuration, FeedListener& endpoints,
                   FeedListener& routers) noexcept
      : m_endpoint_prefix(endpoint_prefix),
        m_router_prefix(router_prefix),
        m_configuration(configuration),
        m_endpoints(endpoints),
        m_routers(routers) {}

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;
  void OnFeedLost() override;
  void OnFeedRegained(SteadyTime last_failed) override;

 private:
  struct Parts {
    std::vector<platform::KeyValueItem> configuration;
    std::vector<platform::KeyValueItem> endpoints;
    std::vector<platform::KeyValueItem> routers;
  };
  [[nodiscard]] Parts Divide(const std::vector<platform::KeyValueItem>& items) const;

  std::string_view m_endpoint_prefix;
  std::string_view m_router_prefix;
  FeedListener& m_configuration;
  FeedListener& m_endpoints;
  FeedListener& m_routers;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_
