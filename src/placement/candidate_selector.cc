#include "placement/candidate_selector.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/hash.h"
#include "placement/chat_key.h"
#include "placement/flap_damping.h"

namespace wagtailwind::placement {

namespace {

using gossip::Member;
using gossip::MemberState;

// A joining agent has an empty prefix cache. Its weight rises from this fraction to 1 during the
// joining time, so that it does not have to compute the prefixes of all its chats at once.
constexpr double kJoiningWeight = 0.1;
constexpr std::chrono::seconds kJoiningTime{120};

// Groups of candidates, in order of preference.
enum class Tier : std::uint8_t {
  kHint,
  kSameZone,
  kSameRegion,
  kSameRegionSuspect,
  kOtherRegion,
  kOtherRegionSuspect,
};

struct RankedMember {
  Tier tier;
  double score;
  const Member* member;
};

bool RanksBefore(const RankedMember& left, const RankedMember& right) {
  if (left.tier != right.tier) {
    return left.tier < right.tier;
  }
  if (left.score != right.score) {
    return left.score > right.score;
  }
  return left.member->endpoint->endpoint.value() < right.member->endpoint->endpoint.value();
}

bool MayServe(const PlacementRequest& request, const Member& member) {
  if (member.role != gossip::Role::kAgent || !member.endpoint ||
      (member.state != MemberState::kAlive && member.state != MemberState::kSuspect)) {
    return false;
  }
  const gossip::EndpointAdvertisement& endpoint = *member.endpoint;
  if (endpoint.kind != request.kind || endpoint.pool != request.pool) {
    return false;
  }
  return request.model.empty() || std::find(endpoint.models.begin(), endpoint.models.end(),
                                            request.model) != endpoint.models.end();
}

double JoiningFactor(const Member& member, SteadyTime now) {
  const double age =
      std::chrono::duration<double>(std::max(now - member.first_seen, SteadyTime::duration{0})) /
      std::chrono::duration<double>(kJoiningTime);
  return kJoiningWeight + (1.0 - kJoiningWeight) * std::min(age, 1.0);
}

bool IsHinted(const PlacementRequest& request, const Member& member) {
  return !request.chat.empty() && !request.hint.empty() &&
         member.endpoint->endpoint == request.hint &&
         member.incarnation == request.hint_incarnation && member.state == MemberState::kAlive;
}

class RendezvousSelector final : public CandidateSelector {
 public:
  RendezvousSelector(Location location, RandomSource& random)
      : m_location(std::move(location)), m_random(random) {}

  [[nodiscard]] std::vector<const Member*> Select(const PlacementRequest& request,
                                                  std::span<const Member> members, SteadyTime now,
                                                  std::size_t limit) const override {
    std::vector<RankedMember> ranked = request.partition_hash
                                           ? RankForPartition(request, members)
                                           : RankForRequest(request, members, now);
    if (request.chat.empty() && !request.partition_hash) {
      LimitSameZone(ranked, limit);
    }
    const std::size_t count = std::min(limit, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), RanksBefore);
    std::vector<const Member*> selected;
    selected.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      selected.push_back(ranked[i].member);
    }
    return selected;
  }

 private:
  // All routers have to agree on the owner of a partition, so the score depends neither on weights
  // nor on the router's location, which differ between routers.
  static std::vector<RankedMember> RankForPartition(const PlacementRequest& request,
                                                    std::span<const Member> members) {
    std::vector<RankedMember> ranked;
    for (const Member& member : members) {
      if (MayServe(request, member)) {
        const bool alive = member.state == MemberState::kAlive;
        ranked.push_back(
            {alive ? Tier::kSameRegion : Tier::kSameRegionSuspect,
             RendezvousScore(*request.partition_hash, member.endpoint->endpoint.value()), &member});
      }
    }
    return ranked;
  }

  std::vector<RankedMember> RankForRequest(const PlacementRequest& request,
                                           std::span<const Member> members, SteadyTime now) const {
    const std::uint64_t key =
        request.chat.empty() ? m_random.Next() : ChatHash(request.organisation, request.chat);
    std::vector<RankedMember> ranked;
    for (const Member& member : members) {
      if (MayServe(request, member)) {
        ranked.push_back(
            {TierOf(request, member),
             RendezvousScore(key, member.endpoint->endpoint.value(), Weight(member, now)),
             &member});
      }
    }
    return ranked;
  }

  double Weight(const Member& member, SteadyTime now) const {
    const double capacity = std::max(1.0, static_cast<double>(member.endpoint->capacity));
    if (m_damping.Observe(member, now)) {
      return capacity * kJoiningWeight;
    }
    return capacity * JoiningFactor(member, now);
  }

  Tier TierOf(const PlacementRequest& request, const Member& member) const {
    if (IsHinted(request, member)) {
      return Tier::kHint;
    }
    const bool alive = member.state == MemberState::kAlive;
    if (member.region != m_location.region) {
      return alive ? Tier::kOtherRegion : Tier::kOtherRegionSuspect;
    }
    if (!alive) {
      return Tier::kSameRegionSuspect;
    }
    // For a chat, a network hop to another zone (1 ms) costs far less than computing its prefix
    // again.
    const bool prefer_zone = request.chat.empty() && member.zone == m_location.zone;
    return prefer_zone ? Tier::kSameZone : Tier::kSameRegion;
  }

  // Takes at most half of the candidates from the router's zone, so that a busy zone does not use
  // up all attempts.
  static void LimitSameZone(std::vector<RankedMember>& ranked, std::size_t limit) {
    std::sort(ranked.begin(), ranked.end(), RanksBefore);
    std::size_t same_zone = 0;
    for (RankedMember& candidate : ranked) {
      if (candidate.tier == Tier::kSameZone && ++same_zone > (limit + 1) / 2) {
        candidate.tier = Tier::kSameRegion;
      }
    }
  }

  Location m_location;
  RandomSource& m_random;
  mutable FlapDamping m_damping;
};

}  // namespace

std::unique_ptr<CandidateSelector> MakeCandidateSelector(Location location, RandomSource& random) {
  return std::make_unique<RendezvousSelector>(std::move(location), random);
}

}  // namespace wagtailwind::placement
