#ifndef WAGTAILWIND_PLACEMENT_CANDIDATE_SELECTOR_H_
#define WAGTAILWIND_PLACEMENT_CANDIDATE_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/random_source.h"
#include "gossip/member.h"

namespace wagtailwind::placement {

/// \brief Properties of a request by which a router chooses an agent.
struct PlacementRequest {
  OrganisationName organisation;
  /// Empty if the request belongs to no chat.
  ChatId chat;
  gossip::EndpointKind kind = gossip::EndpointKind::kEngine;
  ServiceName pool;
  /// Empty for services.
  ModelName model;
  /// Endpoint of the caller's placement hint; empty if there is none.
  EndpointName hint;
  Incarnation hint_incarnation = 0;
  /// Hash of the claim partition, for calls that are not repeatable. The order of the candidates
  /// then depends on this hash alone.
  std::optional<std::uint64_t> partition_hash;
};

/// \brief Location of the router.
struct Location {
  AvailabilityZoneName zone;
  RegionName region;
};

/// \brief Orders the agents that may serve a request, best first.
class CandidateSelector {
 public:
  virtual ~CandidateSelector() = default;

  /// \brief Returns pointers to at most `limit` elements of `members`, best first.
  [[nodiscard]] virtual std::vector<const gossip::Member*> Select(
      const PlacementRequest& request, std::span<const gossip::Member> members, SteadyTime now,
      std::size_t limit) const = 0;
};

/// \brief Makes a selector that prefers the hinted endpoint, then weighted rendezvous order, and
/// puts suspect agents and other regions last.
[[nodiscard]] std::unique_ptr<CandidateSelector> MakeCandidateSelector(Location location,
                                                                       RandomSource& random);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_CANDIDATE_SELECTOR_H_
