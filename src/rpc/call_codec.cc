#include "rpc/call_codec.h"

#include <algorithm>
#include <string_view>

namespace wagtailwind::rpc {

namespace {

using requests::FailureReason;
using requests::Outcome;

kj::ArrayPtr<const kj::byte> Bytes(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

void WriteHeaders(const std::vector<http::Header>& headers,
                  capnp::List<schema::Header>::Builder list) {
  for (unsigned int i = 0; i < list.size(); ++i) {
    list[i].setName(headers[i].name);
    list[i].setValue(headers[i].value);
  }
}

void WriteChat(const ChatCall& call, schema::ChatCall::Builder builder) {
  builder.setModel(call.model.value());
  builder.setAdapter(call.adapter);
  builder.setChat(call.chat.value());
  builder.setBody(Bytes(call.body));
  builder.setStream(call.stream);
  builder.setPromptTokens(call.prompt_tokens);
  builder.setMaxOutputTokens(call.max_output_tokens);
  builder.setPrefixHash(call.prefix_hash);
  builder.setLastResort(call.last_resort);
}

void WriteService(const ServiceCall& call, schema::ServiceCall::Builder builder) {
  builder.setService(call.service.value());
  builder.setMethod(call.method);
  builder.setPath(call.path);
  WriteHeaders(call.headers, builder.initHeaders(static_cast<unsigned int>(call.headers.size())));
  builder.setBody(Bytes(call.body));
  builder.setRepeatable(call.repeatable);
}

Outcome ReadOutcome(schema::Outcome outcome) noexcept {
  switch (outcome) {
    case schema::Outcome::RESULT:
      return Outcome::kResult;
    case schema::Outcome::NOT_RUN:
      return Outcome::kNotRun;
    default:
      return Outcome::kUnknown;
  }
}

FailureReason ReadReason(std::uint8_t reason) noexcept {
  return reason <= static_cast<std::uint8_t>(FailureReason::kNotReady)
             ? static_cast<FailureReason>(reason)
             : FailureReason::kNone;
}

}  // namespace

void WriteCall(const AttemptCall& call, Incarnation agent_incarnation,
               schema::Call::Builder builder) {
  builder.setRequestId(
      kj::ArrayPtr<const kj::byte>(call.request_id.data(), call.request_id.size()));
  builder.setAttempt(call.attempt);
  builder.setRouterIncarnation(call.router_incarnation);
  builder.setAgentIncarnation(agent_incarnation);
  builder.setOrganisation(call.organisation.value());
  builder.setPriorityClass(call.priority_class.value());
  builder.setDeadlineMs(
      static_cast<std::uint32_t>(std::max<std::int64_t>(0, call.deadline.count())));
  builder.setRequestKey(call.request_key);
  builder.setConfigurationVersion(call.configuration_version);
  if (const auto* chat = std::get_if<ChatCall>(&call.call)) {
    WriteChat(*chat, builder.initChat());
  } else {
    WriteService(std::get<ServiceCall>(call.call), builder.initService());
  }
}

AttemptRefusal ReadRefusal(schema::Refusal::Reader reader) {
  AttemptRefusal refusal;
  refusal.outcome = ReadOutcome(reader.getOutcome());
  refusal.reason = ReadReason(reader.getReason());
  refusal.retry_after = std::chrono::milliseconds(reader.getRetryAfterMs());
  for (const auto name : reader.getRedirects()) {
    refusal.redirects.emplace_back(std::string(name.cStr(), name.size()));
  }
  return refusal;
}

AnswerHead ReadHead(schema::AnswerHead::Reader reader) {
  AnswerHead head;
  head.status = reader.getStatus();
  head.cached_tokens = reader.getCachedTokens();
  for (const auto header : reader.getHeaders()) {
    const auto name = header.getName();
    const auto value = header.getValue();
    head.headers.push_back(
        {std::string(name.cStr(), name.size()), std::string(value.cStr(), value.size())});
  }
  return head;
}

AnswerEnd ReadEnd(schema::AnswerEnd::Reader reader) {
  return {reader.getComplete(), ReadOutcome(reader.getOutcome()), ReadReason(reader.getReason())};
}

}  // namespace wagtailwind::rpc
