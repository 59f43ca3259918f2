#include "support/caller.h"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "http/client.h"

namespace wagtailwind::testing {

namespace {

using Json = nlohmann::json;

// Ends a test that would otherwise hang.
constexpr std::chrono::seconds kCallTimeout{60};
constexpr const char* kChatPath = "/v1/chat/completions";

}  // namespace

std::string ChatBody(const ChatRequest& request) {
  Json messages = Json::array();
  for (const std::string& content : request.messages) {
    const char* const role = messages.size() % 2 == 0 ? "user" : "assistant";
    messages.push_back({{"role", role}, {"content", content}});
  }
  return Json{{"model", request.model},
              {"stream", request.stream},
              {"max_tokens", request.max_tokens},
              {"messages", messages}}
      .dump();
}

std::vector<http::Header> ChatHeaders(const ChatRequest& request) {
  std::vector<http::Header> headers{{"Content-Type", "application/json"},
                                    {"Wagtailwind-Organisation", request.organisation}};
  if (!request.chat.empty()) {
    headers.push_back({"Wagtailwind-Chat", request.chat});
  }
  if (!request.hint.empty()) {
    headers.push_back({"Wagtailwind-Placement-Hint", request.hint});
  }
  return headers;
}

std::string RawChat(const ChatRequest& request) {
  const std::string body = ChatBody(request);
  std::string text = std::string("POST ") + kChatPath + " HTTP/1.1\r\nHost: fleet\r\n";
  for (const http::Header& header : ChatHeaders(request)) {
    text += header.name + ": " + header.value + "\r\n";
  }
  return text + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

http::Response SendChat(const FleetProcess& router, const ChatRequest& request) {
  http::Client client(router.addresses.at("http"));
  return client.Send("POST", kChatPath, ChatBody(request), kCallTimeout, ChatHeaders(request));
}

std::string AnswerText(const http::Response& response) {
  const Json answer = Json::parse(response.body, nullptr, false);
  const Json::json_pointer content("/choices/0/message/content");
  return answer.is_object() && answer.contains(content) ? answer[content].get<std::string>() : "";
}

http::Response BeginChat(const FleetProcess& router, ChatRequest& request) {
  http::Response answer = SendChat(router, request);
  request.messages.push_back(AnswerText(answer));
  request.messages.emplace_back("And in one sentence?");
  request.hint = HeaderOf(answer, "Wagtailwind-Placement-Hint");
  return answer;
}

http::Response SendServiceCall(const FleetProcess& router, const std::string& method,
                               const std::string& target, const std::string& body,
                               const std::vector<http::Header>& headers) {
  http::Client client(router.addresses.at("http"));
  return client.Send(method, target, body, kCallTimeout, headers);
}

std::string NewRequestKey() {
  static std::atomic<std::uint32_t> number{0};
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  return absl::StrFormat("%08x-%04x-7abc-8def-%04x%08x", now >> 16U, now & 0xffff,
                         static_cast<std::uint32_t>(getpid()) & 0xffffU, number++);
}

std::string HeaderOf(const http::Response& response, std::string_view name) {
  return std::string(http::FindHeader(response.headers, name));
}

std::vector<std::string> HistoryOf(const FleetProcess& stand_in) {
  const std::string text = Fleet::Fetch(stand_in.addresses.at("listening"), "/history");
  return absl::StrSplit(text, '\n', absl::SkipEmpty());
}

}  // namespace wagtailwind::testing
