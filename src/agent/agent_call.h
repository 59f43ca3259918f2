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

/// \brief Identity of one attempt.
struct AttemptId {
  RequestId request{};
  std::uint32_t attempt = 0;
  Incarnation router_incarnation = 0;

  friend bool operator==(const AttemptId&, const AttemptId&) = default;
};

/// \brief Hash of attempt ids; request ids are random already.
struct AttemptIdHash {
  [[nodiscard]] std::size_t operator()(const AttemptId& id) const noexcept {
    std::size_t hash = 0;
    std::memcpy(&hash, id.request.data(), sizeof(hash));
    return hash ^ id.attempt;
  }
};

using ChatCall = rpc::ChatCall;
using PlainCall = rpc::ServiceCall;

/// \brief One attempt as a router sends it.
struct AgentCall {
  AttemptId id;
  /// The agent process that the router means.
  Incarnation agent_incarnation = 0;
  OrganisationName organisation;
  PriorityClassName priority_class;
  /// Time that is left.
  std::chrono::milliseconds deadline{0};
  /// Empty: none.
  std::string request_key;
  std::variant<ChatCall, PlainCall> target;
};

/// \brief A refused attempt.
struct Refusal {
  requests::FailureReason reason = requests::FailureReason::kNone;
  std::chrono::milliseconds retry_after{0};
  std::vector<EndpointName> redirects;
  requests::Outcome outcome = requests::Outcome::kNotRun;
};

/// \brief An attempt that was admitted and may be cancelled.
class Execution {
 public:
  virtual ~Execution() = default;

  /// \brief The caller is gone. A call that has not been sent is not sent any more.
  virtual void Cancel() = 0;

  /// \brief Ends a generation that nobody reads; other calls are not affected.
  virtual void StopUnread(std::chrono::milliseconds max_unread) = 0;

  /// \brief Ends the answer at once with this reason.
  virtual void Abort(requests::FailureReason reason) = 0;
};

/// \brief The agent's decision on an attempt.
struct Admission {
  /// Null if refused.
  std::shared_ptr<StoredAnswer> answer;
  std::shared_ptr<Execution> execution;
  Refusal refusal;
};

/// \brief Receives the decision, once.
using AdmissionCallback = std::function<void(const Admission&)>;

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_AGENT_CALL_H_
