#ifndef WAGTAILWIND_TESTS_SUPPORT_CALLER_H_
#define WAGTAILWIND_TESTS_SUPPORT_CALLER_H_

#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"
#include "support/fleet.h"

namespace wagtailwind::testing {

/// \brief A model call as a caller writes it.
struct ChatRequest {
  std::string organisation;
  std::string model;
  /// Empty: the request belongs to no chat.
  std::string chat;
  /// Placement hint of the last answer; empty: none.
  std::string hint;
  bool stream = false;
  int max_tokens = 8;
  /// Contents of the messages; user and assistant take turns.
  std::vector<std::string> messages;
};

/// \brief The JSON body of a call.
[[nodiscard]] std::string ChatBody(const ChatRequest& request);

/// \brief The header fields of a call.
[[nodiscard]] std::vector<http::Header> ChatHeaders(const ChatRequest& request);

/// \brief The whole call as it is written to a connection, which the answer closes.
[[nodiscard]] std::string RawChat(const ChatRequest& request);

/// \brief Sends a call to a router and waits for the whole answer.
[[nodiscard]] http::Response SendChat(const FleetProcess& router, const ChatRequest& request);

/// \brief The assistant's text in a whole answer; empty if there is none.
[[nodiscard]] std::string AnswerText(const http::Response& response);

/// \brief Sends the first message of a chat, and makes `request` the chat's next call.
http::Response BeginChat(const FleetProcess& router, ChatRequest& request);

/// \brief Calls a service.
[[nodiscard]] http::Response SendServiceCall(const FleetProcess& router, const std::string& method,
                                             const std::string& target, const std::string& body,
                                             const std::vector<http::Header>& headers);

/// \brief A request key of the present time that differs from all others of this process.
[[nodiscard]] std::string NewRequestKey();

/// \brief A header of an answer; empty if absent.
[[nodiscard]] std::string HeaderOf(const http::Response& response, std::string_view name);

/// \brief The executions that a stand-in recorded, one JSON object each.
[[nodiscard]] std::vector<std::string> HistoryOf(const FleetProcess& stand_in);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_CALLER_H_
