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

/// \brief The list could not be read.
using InstanceListUnavailable = wagtailwind::detail::NamedError<detail::InstanceListUnavailableTag>;

/// \brief One line of the platform's list.
struct ListedInstance {
  InstanceName name;
  AvailabilityZoneName zone;
  std::string gossip_address;
  bool leaving = false;
  /// `ip:port` of the admin listener; empty if the list does not tell.
  std::string admin_address;
};

/// \brief The platform's list of live and leaving instances. It lags behind.
class InstanceList {
 public:
  virtual ~InstanceList() = default;

  /// \brief Reads the list; throws InstanceListUnavailable.
  [[nodiscard]] virtual std::vector<ListedInstance> Read() = 0;
};

}  // namespace wagtailwind::platform

#endif  // WAGTAILWIND_PLATFORM_INSTANCE_LIST_H_
