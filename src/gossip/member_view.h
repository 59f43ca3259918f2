#ifndef WAGTAILWIND_GOSSIP_MEMBER_VIEW_H_
#define WAGTAILWIND_GOSSIP_MEMBER_VIEW_H_

#include <memory>
#include <vector>

#include "gossip/member.h"

namespace wagtailwind::gossip {

/// \brief Immutable snapshot of all members except dead ones.
using MemberSnapshot = std::shared_ptr<const std::vector<Member>>;

/// \brief Read access to the member table, for placement and request handling.
class MemberView {
 public:
  virtual ~MemberView() = default;

  /// \brief Returns the currently known members. Cheap; never null.
  [[nodiscard]] virtual MemberSnapshot Members() const = 0;
};

/// \brief Read access to the loads that peers report.
class LoadView {
 public:
  virtual ~LoadView() = default;

  /// \brief Returns the known load entries of a pool, of any age.
  [[nodiscard]] virtual std::vector<LoadEntry> PoolLoad(const ServiceName& pool) const = 0;
};

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_MEMBER_VIEW_H_
