#ifndef WAGTAILWIND_FORWARD_RANKING_REQUEST_H_
#define WAGTAILWIND_FORWARD_RANKING_REQUEST_H_

#include <optional>
#include <string_view>

#include "balancing/endpoint_ranking.h"
#include "balancing/prompt.h"
#include "forward/forward_context.h"
#include "forward/routing.h"

namespace wagtailwind::forward {

/// \brief A request, its route, and the service that was chosen for it.
struct RoutedRequest {
  const RoutingConfiguration& configuration;
  const Route& route;
  /// Owner of the request's key; null if it needs none.
  const ApiKeyOwner* key_owner;
  const ServiceName& service;
  /// Model that the request names; empty if it names none.
  std::string_view model;
  /// Empty for requests without a prompt.
  const std::optional<balancing::SharedPrompt>& prompt;
};

/// \brief Returns the properties of a request that determine the order of endpoints, except for its
/// cost.
[[nodiscard]] balancing::RankingRequest MakeRankingRequest(const ForwardContext& context,
                                                           const RoutedRequest& request);

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_RANKING_REQUEST_H_
