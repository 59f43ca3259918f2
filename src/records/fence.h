#ifndef WAGTAILWIND_RECORDS_FENCE_H_
#define WAGTAILWIND_RECORDS_FENCE_H_

#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/random_source.h"
#include "platform/key_value_service.h"
#include "records/change.h"

namespace wagtailwind::records {

/// \brief Number in an order to an endpoint; an order with a lower one than the present is stale.
using FencingToken = std::uint64_t;

/// \brief Raises `fence/<endpoint>` by one and returns the token, which nobody else holds. A lost
/// answer is settled by reading. Throws KeyValueUnavailable if the platform can't settle it in
/// several attempts; the caller then has no token and may call again.
[[nodiscard]] FencingToken RaiseFence(const EndpointName& endpoint,
                                      platform::KeyValueService& service, RandomSource& random,
                                      const Pause& pause);

/// \brief The present token of an endpoint; 0 if none was ever raised. May throw as
/// KeyValueService::Get().
[[nodiscard]] FencingToken ReadFence(const EndpointName& endpoint,
                                     platform::KeyValueService& service);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_FENCE_H_
