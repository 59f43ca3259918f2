#ifndef WAGTAILWIND_ROUTER_RESPONSE_HEADERS_H_
#define WAGTAILWIND_ROUTER_RESPONSE_HEADERS_H_

#include <optional>
#include <vector>

#include "http/message.h"
#include "records/configuration_view.h"
#include "router/answer_channel.h"
#include "router/caller_error.h"

namespace wagtailwind::router {

/// \brief Returns the endpoint's headers without hop-by-hop headers and without names that are
/// reserved for the router.
[[nodiscard]] std::vector<http::Header> EndToEndHeaders(const std::vector<http::Header>& headers);

/// \brief Adds `Wagtailwind-Config-Age-Ms` if the configuration may be out of date.
void AddConfigurationAge(const records::ConfigurationView& configuration,
                         std::vector<http::Header>& headers);

/// \brief Returns the head of an error answer.
[[nodiscard]] ResponseHead ErrorHead(const CallerError& error);

/// \brief Sends an error as the complete answer and ends the channel.
void SendError(const CallerError& error, const records::ConfigurationView* configuration,
               AnswerChannel& channel);

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_RESPONSE_HEADERS_H_
