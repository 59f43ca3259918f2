#ifndef WAGTAILWIND_RPC_ATTEMPT_H_
#define WAGTAILWIND_RPC_ATTEMPT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "http/message.h"
#include "requests/outcome.h"

namespace wagtailwind::rpc {

/// \brief Address of an agent and the incarnation that is expected there.
struct AgentAddress {
  /// `ip:port`.
  std::string rpc_address;
  Incarnation incarnation = 0;
};

/// \brief Call to a model engine.
struct ChatCall {
  ModelName model;
  std::string adapter;
  ChatId chat;
  std::string body;
  bool stream = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::uint64_t prefix_hash = 0;
  bool last_resort = false;
};

/// \brief Call to a plain service.
struct ServiceCall {
  ServiceName service;
  std::string method;
  std::string path;
  std::vector<http::Header> headers;
  std::string body;
  bool repeatable = false;
};

/// \brief One attempt of a request, as it is sent to an agent.
struct AttemptCall {
  RequestId request_id{};
  std::uint32_t attempt = 0;
  Incarnation router_incarnation = 0;
  OrganisationName organisation;
  PriorityClassName priority_class;
  /// Remaining time.
  std::chrono::milliseconds deadline{0};
  std::string request_key;
  std::uint64_t configuration_version = 0;
  std::variant<ChatCall, ServiceCall> call;
};

/// \brief Call that resumes an answer that the agent has stored.
struct ResumeCall {
  std::string answer_id;
  OrganisationName organisation;
  /// Number of bytes that were already received.
  std::uint64_t offset = 0;
};

/// \brief An agent's refusal.
struct AttemptRefusal {
  requests::Outcome outcome = requests::Outcome::kNotRun;
  requests::FailureReason reason = requests::FailureReason::kNone;
  std::chrono::milliseconds retry_after{0};
  /// Endpoints to try next, best first.
  std::vector<EndpointName> redirects;
};

/// \brief Status and headers of an answer.
struct AnswerHead {
  int status = 200;
  std::vector<http::Header> headers;
  std::uint32_t cached_tokens = 0;
};

/// \brief End of an answer. The length of a complete answer has been checked.
struct AnswerEnd {
  bool complete = false;
  requests::Outcome outcome = requests::Outcome::kUnknown;
  requests::FailureReason reason = requests::FailureReason::kNone;
};

/// \brief Receives the events of one attempt on the event loop, in order. OnRefused, OnEnd,
/// OnNotHandedOver and OnLost are final: exactly one of them is called, unless the attempt is
/// cancelled first. Only OnHandedOver may be called from inside AgentClient::Execute().
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;

  /// \brief The attempt is about to be written to a connection; it may run from now on.
  virtual void OnHandedOver() = 0;

  /// \brief No connection could be opened, so the attempt has not run.
  virtual void OnNotHandedOver() = 0;

  /// \brief The agent admitted the attempt. `answer_id` is the agent's id of the answer.
  virtual void OnAdmitted(std::string_view answer_id) = 0;
  virtual void OnRefused(const AttemptRefusal& refusal) = 0;
  virtual void OnHead(const AnswerHead& head) = 0;

  /// \brief The next bytes of the answer arrived. The agent's flow control waits until `consumed`
  /// is called, which must happen on the event loop.
  virtual void OnChunk(std::string_view data, std::function<void()> consumed) = 0;
  virtual void OnEnd(const AnswerEnd& end) = 0;

  /// \brief The attempt was lost after it was handed over, or the agent violated the protocol.
  virtual void OnLost(requests::FailureReason reason) = 0;
};

/// \brief An attempt in progress.
class Attempt {
 public:
  virtual ~Attempt() = default;

  /// \brief Cancels the attempt; the listener is not called again. No effect if it has ended.
  virtual void Cancel() = 0;
};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_ATTEMPT_H_
