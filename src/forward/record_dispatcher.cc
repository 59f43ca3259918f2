#include "forward/record_dispatcher.h"

namespace wagtailwind::forward {

RecordDispatcher::Parts RecordDispatcher::Divide(
    const std::vector<platform::KeyValueItem>& items) const {
  Parts parts;
  for (const platform::KeyValueItem& item : items) {
    const bool is_endpoint = item.key.starts_with(m_followers.endpoint_prefix);
    const bool is_router = item.key.starts_with(m_followers.router_prefix);
    const bool is_evacuation = item.key.starts_with(m_followers.evacuation_prefix);
    (is_endpoint     ? parts.endpoints
     : is_router     ? parts.routers
     : is_evacuation ? parts.evacuations
                     : parts.configuration)
        .push_back(item);
  }
  return parts;
}

void RecordDispatcher::OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                                  BootTime valid_as_of) {
  const Parts parts = Divide(items);
  m_followers.evacuations.OnSnapshot(parts.evacuations, valid_as_of);
  m_followers.endpoints.OnSnapshot(parts.endpoints, valid_as_of);
  for (FeedListener* follower : m_followers.routers) {
    follower->OnSnapshot(parts.routers, valid_as_of);
  }
  m_followers.configuration.OnSnapshot(parts.configuration, valid_as_of);
}

void RecordDispatcher::OnChanges(const std::vector<platform::KeyValueItem>& changes,
                                 BootTime valid_as_of) {
  const Parts parts = Divide(changes);
  if (!parts.evacuations.empty()) {
    m_followers.evacuations.OnChanges(parts.evacuations, valid_as_of);
  }
  if (!parts.endpoints.empty()) {
    m_followers.endpoints.OnChanges(parts.endpoints, valid_as_of);
  }
  if (!parts.routers.empty()) {
    for (FeedListener* follower : m_followers.routers) {
      follower->OnChanges(parts.routers, valid_as_of);
    }
  }
  // Also without changes: the watch confirms that the configuration is the newest.
  m_followers.configuration.OnChanges(parts.configuration, valid_as_of);
}

void RecordDispatcher::OnFeedLost() {
  m_followers.configuration.OnFeedLost();
  m_followers.endpoints.OnFeedLost();
  m_followers.evacuations.OnFeedLost();
  for (FeedListener* follower : m_followers.routers) {
    follower->OnFeedLost();
  }
}

void RecordDispatcher::OnFeedRegained(SteadyTime last_failed) {
  m_followers.configuration.OnFeedRegained(last_failed);
  m_followers.endpoints.OnFeedRegained(last_failed);
  m_followers.evacuations.OnFeedRegained(last_failed);
  for (FeedListener* follower : m_followers.routers) {
    follower->OnFeedRegained(last_failed);
  }
}

void RecordDispatcher::OnServiceRestored() {
  m_followers.configuration.OnServiceRestored();
  m_followers.endpoints.OnServiceRestored();
  m_followers.evacuations.OnServiceRestored();
  for (FeedListener* follower : m_followers.routers) {
    follower->OnServiceRestored();
  }
}

}  // namespace wagtailwind::forward
