#ifndef WAGTAILWIND_TESTS_SUPPORT_CALLER_H_
#define WAGTAILWIND_TESTS_SUPPORT_CALLER_H_

#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"
#include "support/fleet.h"

namespace wagtailwind::testing {

/// \brief A model call.
struct ChatRequest {
  std::string organisation;
  std::string model;
  /// Chat id; empty if the request belongs to no chat.
  std::string chat;
  /// Placement hint from the last answer; empty if there is none.
  std::string hint;
  bool stream = false;
  int max_tokens = 8;
  /// Contents of the messages, alternately of the user and the assistant.
  std::vector<std::string> messages;
};

/// \brief Returns the JSON body of a call.
[[nodiscard]] std::string ChatBody(const ChatRequest& request);

/// \brief Returns the header fields of a call.
[[nodiscard]] std::vector<http::Header> ChatHeaders(const ChatRequest& request);

/// \brief Returns the HTTP text of a call with `Connection: close`.
[[nodiscard]] std::string RawChat(const ChatRequest& request);

/// \brief Sends a call to a router and waits for the complete answer.
[[nodiscard]] http::Response SendChat(const FleetProcess& router, const ChatRequest& request);

/// \brief Returns the assistant's text in an unstreamed answer; empty if there is none.
[[nodiscard]] std::string AnswerText(const http::Response& response);

/// \brief Sends the first message of a chat, and changes `request` into the chat's next call.
http::Response BeginChat(const FleetProcess& router, ChatRequest& request);

/// \brief Sends a service call to a router.
[[nodiscard]] http::Response SendServiceCall(const FleetProcess& router, const std::string& method,
                                             const std::string& target, const std::string& body,
                                             const std::vector<http::Header>& headers);

/// \brief Returns a request key with the current time that is unique in this process.
[[nodiscard]] std::string NewRequestKey();

/// \brief Returns the value of a response header; empty if it is absent.
[[nodiscard]] std::string HeaderOf(const http::Response& response, std::string_view name);

/// \brief Returns the executions that a stand-in recorded, one JSON object each.
[[nodiscard]] std::vector<std::string> HistoryOf(const FleetProcess& stand_in);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_CALLER_H_
