#ifndef WAGTAILWIND_AGENT_CALL_READER_H_
#define WAGTAILWIND_AGENT_CALL_READER_H_

#include <optional>

#include "agent/agent_call.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::agent {

/// \brief Reads the call of an `execute` message; returns nullopt if it is malformed.
[[nodiscard]] std::optional<AgentCall> ReadCall(rpc::schema::Call::Reader reader);

/// \brief Writes a decision into the results of an `execute` call.
void WriteAdmission(const AttemptId& id, Incarnation agent_incarnation, const Admission& admission,
                    rpc::schema::Admission::Builder builder);

/// \brief Conversions to the types of the RPC schema.
[[nodiscard]] rpc::schema::Outcome ToSchema(requests::Outcome outcome) noexcept;
void WriteHead(const AnswerHead& head, rpc::schema::AnswerHead::Builder builder);
void WriteEnd(const AnswerEnd& end, std::uint64_t total_bytes,
              rpc::schema::AnswerEnd::Builder builder);

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_CALL_READER_H_
