#ifndef WAGTAILWIND_ROUTER_RESPONSE_HEADERS_H_
#define WAGTAILWIND_ROUTER_RESPONSE_HEADERS_H_

#include <optional>
#include <vector>

#include "http/message.h"
#include "records/configuration_view.h"
#include "router/answer_channel.h"
#include "router/caller_error.h"

namespace wagtailwind::router {

/// \brief The endpoint's headers without those of its own connection and without names that only
/// the router may use.
[[nodiscard]] std::vector<http::Header> EndToEndHeaders(const std::vector<http::Header>& headers);

/// \brief Adds `Wagtailwind-Config-Age-Ms` if the configuration may be out of date.
void AddConfigurationAge(const records::ConfigurationView& configuration,
                         std::vector<http::Header>& headers);

/// \brief Head of an answer that is an error.
[[nodiscard]] ResponseHead ErrorHead(const CallerError& error);

/// \brief Ends a channel with an error that is the whole answer.
void SendError(const CallerError& error, const records::ConfigurationView* configuration,
               AnswerChannel& channel);

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_RESPONSE_HEADERS_H_
