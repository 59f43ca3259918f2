#ifndef WAGTAILWIND_FORWARD_PLACEMENT_QUERY_H_
#define WAGTAILWIND_FORWARD_PLACEMENT_QUERY_H_

#include <string_view>

#include "forward/forward_context.h"
#include "forward/response_sink.h"

namespace wagtailwind::forward {

/// Path of placement queries on the admin listener.
inline constexpr std::string_view kPlacementPath = "/placement";

/// \brief Responds to the question where a request would go now, and why. Sends nothing to
/// endpoints, changes no state of the router, and writes no log line, because the query contains an
/// API key.
///
/// `query` is a JSON object with the fields `host`, `path`, and optionally `api_key`, `model`,
/// `tokens` and `prompt`, which have the form of the request's header fields. The response is a
/// JSON object, with status 400 and the field `error` for an invalid query.
void RespondToPlacementQuery(const ForwardContext& context, std::string_view query,
                             ResponseSink& sink);

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_PLACEMENT_QUERY_H_
