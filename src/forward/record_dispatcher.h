#ifndef WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_
#define WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_

#include <string_view>
#include <utility>
#include <vector>

#include "forward/prefix_feed.h"

namespace wagtailwind::forward {

/// \brief Passes the records of one feed on to the followers of the configuration, of the list of
/// endpoints, of evacuations, and of the records of other routers.
class RecordDispatcher final : public FeedListener {
 public:
  /// \brief Followers of the records, and the prefixes by which these are told apart.
  struct Followers {
    std::string_view endpoint_prefix;
    std::string_view router_prefix;
    std::string_view evacuation_prefix;
    FeedListener& configuration;
    FeedListener& endpoints;
    FeedListener& evacuations;
    /// Each of them gets all records of routers.
    std::vector<FeedListener*> routers;
  };

  /// \brief All that `followers` refers to must outlive the object.
  explicit RecordDispatcher(Followers followers) noexcept : m_followers(std::move(followers)) {}

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;
  void OnFeedLost() override;
  void OnFeedRegained(SteadyTime last_failed) override;
  void OnServiceRestored() override;

 private:
  struct Parts {
    std::vector<platform::KeyValueItem> configuration;
    std::vector<platform::KeyValueItem> endpoints;
    std::vector<platform::KeyValueItem> evacuations;
    std::vector<platform::KeyValueItem> routers;
  };
  [[nodiscard]] Parts Divide(const std::vector<platform::KeyValueItem>& items) const;

  Followers m_followers;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_RECORD_DISPATCHER_H_
