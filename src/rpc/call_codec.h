#ifndef WAGTAILWIND_RPC_CALL_CODEC_H_
#define WAGTAILWIND_RPC_CALL_CODEC_H_

#include "rpc/attempt.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::rpc {

/// \brief Writes a call into a message.
void WriteCall(const AttemptCall& call, Incarnation agent_incarnation,
               schema::Call::Builder builder);

/// \brief Reads a refusal. An outcome that this version does not know becomes kUnknown, and an
/// unknown reason becomes kNone.
[[nodiscard]] AttemptRefusal ReadRefusal(schema::Refusal::Reader reader);

/// \brief Reads the status and headers of an answer.
[[nodiscard]] AnswerHead ReadHead(schema::AnswerHead::Reader reader);

/// \brief Reads the end of an answer.
[[nodiscard]] AnswerEnd ReadEnd(schema::AnswerEnd::Reader reader);

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_CALL_CODEC_H_
