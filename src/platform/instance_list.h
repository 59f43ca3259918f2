#ifndef WAGTAILWIND_PLATFORM_INSTANCE_LIST_H_
#define WAGTAILWIND_PLATFORM_INSTANCE_LIST_H_

#include <string>
#include <vector>

#include "core/error.h"
#include "core/ids.h"

namespace wagtailwind::platform {

namespace detail {
struct InstanceListUnavailableTag {
  static constexpr const char* kName = "instance_list_unavailable";
};
}  // namespace detail

/// \brief Thrown when the instance list can't be read.
using InstanceListUnavailable = wagtailwind::detail::NamedError<detail::InstanceListUnavailableTag>;

/// \brief One entry of the platform's instance list.
struct ListedInstance {
  InstanceName name;
  AvailabilityZoneName zone;
  std::string gossip_address;
  bool leaving = false;
  /// `ip:port` of the admin listener; empty if the list does not contain it.
  std::string admin_address;
};

/// \brief The platform's list of live and leaving instances. It is updated with a delay.
class InstanceList {
 public:
  virtual ~InstanceList() = default;

  /// \brief Returns the entries of the list; throws InstanceListUnavailable.
  [[nodiscard]] virtual std::vector<ListedInstance> Read() = 0;
};

}  // namespace wagtailwind::platform

#endif  // WAGTAILWIND_PLATFORM_INSTANCE_LIST_H_
