#ifndef WAGTAILWIND_PLATFORM_KEY_VALUE_SERVICE_H_
#define WAGTAILWIND_PLATFORM_KEY_VALUE_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"

namespace wagtailwind::platform {

/// \brief Revision of the key-value service, which increases with each write; 0 means that the key
/// is absent.
using Revision = std::uint64_t;

/// \brief Identifies a lease of the key-value service; 0 means no lease.
using LeaseId = std::uint64_t;

namespace detail {
struct KeyValueUnavailableTag {
  static constexpr const char* kName = "key_value_unavailable";
};
struct KeyValueRateLimitedTag {
  static constexpr const char* kName = "key_value_rate_limited";
};
struct KeyValueOutcomeUnknownTag {
  static constexpr const char* kName = "key_value_outcome_unknown";
};
struct LeaseExpiredTag {
  static constexpr const char* kName = "lease_expired";
};
}  // namespace detail

/// \brief Thrown when a call had no effect: no connection, or a read without a valid response.
using KeyValueUnavailable = wagtailwind::detail::NamedError<detail::KeyValueUnavailableTag>;

/// \brief Thrown when the service rejects a call because of its rate limit; the call had no effect.
using KeyValueRateLimited = wagtailwind::detail::NamedError<detail::KeyValueRateLimitedTag>;

/// \brief Thrown when a write was sent but no valid response came back; the write may or may not
/// have taken effect.
using KeyValueOutcomeUnknown = wagtailwind::detail::NamedError<detail::KeyValueOutcomeUnknownTag>;

/// \brief Thrown when the lease has ended.
using LeaseExpired = wagtailwind::detail::NamedError<detail::LeaseExpiredTag>;

/// \brief A value with the revision of its last write.
struct VersionedValue {
  std::string value;
  Revision revision = 0;
};

/// \brief Result of a compare-and-swap. If `swapped` is false, `revision` is the key's current one.
struct SwapResult {
  bool swapped = false;
  Revision revision = 0;
};

/// \brief The platform's key-value service. Calls block; implementations are thread-safe. Every
/// call may throw KeyValueUnavailable or KeyValueRateLimited.
class KeyValueService {
 public:
  virtual ~KeyValueService() = default;

  /// \brief Reads a key; empty if absent.
  [[nodiscard]] virtual std::optional<VersionedValue> Get(std::string_view key) = 0;

  /// \brief Writes a key if its revision is `expected` (0: absent). With a lease, the key is
  /// deleted when the lease ends. May throw KeyValueOutcomeUnknown, or LeaseExpired.
  [[nodiscard]] virtual SwapResult CompareAndSwap(std::string_view key, Revision expected,
                                                  std::string_view value, LeaseId lease = 0) = 0;

  /// \brief Waits until the key's revision is above `after` and returns the value; empty on
  /// timeout.
  [[nodiscard]] virtual std::optional<VersionedValue> Watch(std::string_view key, Revision after,
                                                            std::chrono::milliseconds timeout) = 0;

  /// \brief Grants a lease that ends after `time_to_live` unless it is renewed. May throw
  /// KeyValueOutcomeUnknown.
  [[nodiscard]] virtual LeaseId GrantLease(std::chrono::milliseconds time_to_live) = 0;

  /// \brief Renews a lease; throws LeaseExpired if it has ended. May throw KeyValueOutcomeUnknown.
  virtual void KeepAlive(LeaseId lease) = 0;

  /// \brief Ends a lease and deletes its keys. May throw KeyValueOutcomeUnknown.
  virtual void Revoke(LeaseId lease) = 0;
};

}  // namespace wagtailwind::platform

#endif  // WAGTAILWIND_PLATFORM_KEY_VALUE_SERVICE_H_
