#ifndef WAGTAILWIND_RECORDS_FENCE_H_
#define WAGTAILWIND_RECORDS_FENCE_H_

#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/random_source.h"
#include "platform/key_value_service.h"
#include "records/change.h"

namespace wagtailwind::records {

/// \brief Token in an order to an endpoint. An order whose token is lower than the endpoint's
/// current one is stale.
using FencingToken = std::uint64_t;

/// \brief Increments the token in `fence/<endpoint>` and returns it; no other call returns the same
/// token. If the response to a write is lost, reads the key to find out whether the write was
/// applied. Throws KeyValueUnavailable if all attempts fail; the caller then has no token and may
/// call again.
[[nodiscard]] FencingToken RaiseFence(const EndpointName& endpoint,
                                      platform::KeyValueService& service, RandomSource& random,
                                      const Pause& pause);

/// \brief Returns the current token of an endpoint; 0 if none was ever issued. Throws the errors of
/// KeyValueService::Get(), and KeyValueUnavailable if the stored value is malformed.
[[nodiscard]] FencingToken ReadFence(const EndpointName& endpoint,
                                     platform::KeyValueService& service);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_FENCE_H_
