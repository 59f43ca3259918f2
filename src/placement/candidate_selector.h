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

/// \brief What a router knows of a request when it chooses an agent.
struct PlacementRequest {
  OrganisationName organisation;
  /// Empty: not a returning chat.
  ChatId chat;
  gossip::EndpointKind kind = gossip::EndpointKind::kEngine;
  ServiceName pool;
  /// Empty for services.
  ModelName model;
  /// Endpoint named by the caller's hint; empty: none.
  EndpointName hint;
  Incarnation hint_incarnation = 0;
  /// For calls that are not repeatable: hash of the claim partition. Decides the order alone.
  std::optional<std::uint64_t> partition_hash;
};

/// \brief Where the router stands.
struct Location {
  AvailabilityZoneName zone;
  RegionName region;
};

/// \brief Orders the agents that may serve a request, best first.
class CandidateSelector {
 public:
  virtual ~CandidateSelector() = default;

  /// \brief At most `limit` members out of `members`, best first; pointers into `members`.
  [[nodiscard]] virtual std::vector<const gossip::Member*> Select(
      const PlacementRequest& request, std::span<const gossip::Member> members, SteadyTime now,
      std::size_t limit) const = 0;
};

/// \brief The policy of the product: hint, then weighted rendezvous order, other regions last.
[[nodiscard]] std::unique_ptr<CandidateSelector> MakeCandidateSelector(Location location,
                                                                       RandomSource& random);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_CANDIDATE_SELECTOR_H_
