#ifndef WAGTAILWIND_AGENT_AGENT_CALL_H_
#define WAGTAILWIND_AGENT_AGENT_CALL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "agent/stored_answer.h"
#include "core/ids.h"
#include "http/message.h"
#include "requests/outcome.h"
#include "rpc/attempt.h"

namespace wagtailwind::agent {

/// \brief Identifies one attempt at a request.
struct AttemptId {
  RequestId request{};
  std::uint32_t attempt = 0;
  Incarnation router_incarnation = 0;

  friend bool operator==(const AttemptId&, const AttemptId&) = default;
};

/// \brief Hashes attempt ids. Request ids are random, so their first bytes serve as the hash.
struct AttemptIdHash {
  [[nodiscard]] std::size_t operator()(const AttemptId& id) const noexcept {
    std::size_t hash = 0;
    std::memcpy(&hash, id.request.data(), sizeof(hash));
    return hash ^ id.attempt;
  }
};

using ChatCall = rpc::ChatCall;
using PlainCall = rpc::ServiceCall;

/// \brief One attempt, as received from a router.
struct AgentCall {
  AttemptId id;
  /// Incarnation of the agent process that the router addresses.
  Incarnation agent_incarnation = 0;
  OrganisationName organisation;
  PriorityClassName priority_class;
  /// Time left for the call.
  std::chrono::milliseconds deadline{0};
  /// Empty if the call has no request key.
  std::string request_key;
  std::variant<ChatCall, PlainCall> target;
};

/// \brief The reason for refusing an attempt, with hints for a retry.
struct Refusal {
  requests::FailureReason reason = requests::FailureReason::kNone;
  std::chrono::milliseconds retry_after{0};
  std::vector<EndpointName> redirects;
  requests::Outcome outcome = requests::Outcome::kNotRun;
};

/// \brief An attempt in progress, which may be cancelled or aborted.
class Execution {
 public:
  virtual ~Execution() = default;

  /// \brief Handles the loss of the caller. A call that has not been sent yet is not sent.
  virtual void Cancel() = 0;

  /// \brief Cancels a generation whose answer has had no reader for `max_unread`; does nothing for
  /// other calls.
  virtual void CancelIfUnread(std::chrono::milliseconds max_unread) = 0;

  /// \brief Ends the answer immediately with the given reason.
  virtual void Abort(requests::FailureReason reason) = 0;
};

/// \brief The agent's decision on an attempt.
struct Admission {
  /// Null if refused.
  std::shared_ptr<StoredAnswer> answer;
  std::shared_ptr<Execution> execution;
  Refusal refusal;
};

/// \brief Receives the decision; called exactly once.
using AdmissionCallback = std::function<void(const Admission&)>;

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_AGENT_CALL_H_
