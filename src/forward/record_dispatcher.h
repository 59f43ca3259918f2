#ifndef WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_
#define WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_

#include <string_view>
#include <vector>

#include "forward/prefix_feed.h"

namespace wagtailwind::forward {

/// \brief Passes the records of one feed on to the followers of the configuration and of the list
/// of endpoints. Keys that belong to neither are ignored.
class RecordDispatcher final : public FeedListener {
 public:
  /// \brief All arguments must outlive the object.
  RecordDispatcher(std::string_view endpoint_prefix, FeedListener& configuration,
                   FeedListener& endpoints) noexcept
      : m_endpoint_prefix(endpoint_prefix),
        m_configuration(configuration),
        m_endpoints(endpoints) {}

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;
  void OnFeedLost() override;
  void OnFeedRegained(SteadyTime last_failed) override;

 private:
  struct Parts {
    std::vector<platform::KeyValueItem> configuration;
    std::vector<platform::KeyValueItem> endpoints;
  };
  [[nodiscard]] Parts Divide(const std::vector<platform::KeyValueItem>& items) const;

  std::string_view m_endpoint_prefix;
  FeedListener& m_configuration;
  FeedListener& m_endpoints;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_
