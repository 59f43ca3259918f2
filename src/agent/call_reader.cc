#include "agent/call_reader.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wagtailwind::agent {

namespace {

std::string ToString(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

std::string ToString(capnp::Data::Reader data) { return {data.asChars().begin(), data.size()}; }

ChatCall ReadChat(rpc::schema::ChatCall::Reader reader) {
  ChatCall chat;
  chat.model = ModelName(ToString(reader.getModel()));
  chat.chat = ChatId(ToString(reader.getChat()));
  chat.body = ToString(reader.getBody());
  chat.stream = reader.getStream();
  chat.prompt_tokens = reader.getPromptTokens();
  chat.max_output_tokens = reader.getMaxOutputTokens();
  chat.last_resort = reader.getLastResort();
  return chat;
}

PlainCall ReadService(rpc::schema::ServiceCall::Reader reader) {
  PlainCall call;
  call.service = ServiceName(ToString(reader.getService()));
  call.method = ToString(reader.getMethod());
  call.path = ToString(reader.getPath());
  for (const auto header : reader.getHeaders()) {
    call.headers.push_back({ToString(header.getName()), ToString(header.getValue())});
  }
  call.body = ToString(reader.getBody());
  call.repeatable = reader.getRepeatable();
  return call;
}

void WriteHeaders(const std::vector<http::Header>& headers,
                  capnp::List<rpc::schema::Header>::Builder builder) {
  for (unsigned int i = 0; i < builder.size(); ++i) {
    builder[i].setName(headers[i].name);
    builder[i].setValue(headers[i].value);
  }
}

void WriteRefusal(const Refusal& refusal, rpc::schema::Refusal::Builder builder) {
  builder.setReason(static_cast<std::uint8_t>(refusal.reason));
  builder.setRetryAfterMs(static_cast<std::uint32_t>(refusal.retry_after.count()));
  builder.setOutcome(ToSchema(refusal.outcome));
  auto redirects = builder.initRedirects(static_cast<unsigned int>(refusal.redirects.size()));
  for (unsigned int i = 0; i < redirects.size(); ++i) {
    redirects.set(i, refusal.redirects[i].value());
  }
}

}  // namespace

std::optional<AgentCall> ReadCall(rpc::schema::Call::Reader reader) {
  AgentCall call;
  const auto id = reader.getRequestId();
  if (id.size() != call.id.request.size()) {
    return std::nullopt;
  }
  std::copy(id.begin(), id.end(), call.id.request.begin());
  call.id.attempt = reader.getAttempt();
  call.id.router_incarnation = reader.getRouterIncarnation();
  call.agent_incarnation = reader.getAgentIncarnation();
  call.organisation = OrganisationName(ToString(reader.getOrganisation()));
  call.priority_class = PriorityClassName(ToString(reader.getPriorityClass()));
  call.deadline = std::chrono::milliseconds(reader.getDeadlineMs());
  call.request_key = ToString(reader.getRequestKey());
  switch (reader.which()) {
    case rpc::schema::Call::CHAT:
      call.target = ReadChat(reader.getChat());
      return call;
    case rpc::schema::Call::SERVICE:
      call.target = ReadService(reader.getService());
      return call;
  }
  // A kind of call that only newer routers know.
  return std::nullopt;
}

void WriteAdmission(const AttemptId& id, Incarnation agent_incarnation, const Admission& admission,
                    rpc::schema::Admission::Builder builder) {
  builder.setRequestId(capnp::Data::Reader(id.request.data(), id.request.size()));
  builder.setAttempt(id.attempt);
  builder.setAgentIncarnation(agent_incarnation);
  if (admission.answer) {
    builder.setAdmitted(admission.answer->Id());
  } else {
    WriteRefusal(admission.refusal, builder.initRefused());
  }
}

rpc::schema::Outcome ToSchema(requests::Outcome outcome) noexcept {
  switch (outcome) {
    case requests::Outcome::kResult:
      return rpc::schema::Outcome::RESULT;
    case requests::Outcome::kNotRun:
      return rpc::schema::Outcome::NOT_RUN;
    case requests::Outcome::kUnknown:
      break;
  }
  return rpc::schema::Outcome::UNKNOWN;
}

void WriteHead(const AnswerHead& head, rpc::schema::AnswerHead::Builder builder) {
  builder.setStatus(static_cast<std::uint16_t>(head.status));
  builder.setCachedTokens(head.cached_tokens);
  WriteHeaders(head.headers, builder.initHeaders(static_cast<unsigned int>(head.headers.size())));
}

void WriteEnd(const AnswerEnd& end, std::uint64_t total_bytes,
              rpc::schema::AnswerEnd::Builder builder) {
  builder.setComplete(end.complete);
  builder.setOutcome(ToSchema(end.outcome));
  builder.setReason(static_cast<std::uint8_t>(end.reason));
  builder.setTotalBytes(total_bytes);
}

}  // namespace wagtailwind::agent
