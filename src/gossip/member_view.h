#ifndef WAGTAILWIND_GOSSIP_MEMBER_VIEW_H_
#define WAGTAILWIND_GOSSIP_MEMBER_VIEW_H_

#include <memory>
#include <vector>

#include "gossip/member.h"

namespace wagtailwind::gossip {

/// \brief All members except the dead ones, at one moment. Immutable.
using MemberSnapshot = std::shared_ptr<const std::vector<Member>>;

/// \brief Read access to the membership, for placement and for the request flow.
class MemberView {
 public:
  virtual ~MemberView() = default;

  /// \brief The members known now; cheap, never null.
  [[nodiscard]] virtual MemberSnapshot Members() const = 0;
};

/// \brief Read access to the load that peers report.
class LoadView {
 public:
  virtual ~LoadView() = default;

  /// \brief The known load entries of a pool, of any age.
  [[nodiscard]] virtual std::vector<LoadEntry> PoolLoad(const ServiceName& pool) const = 0;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_MEMBER_VIEW_H_
