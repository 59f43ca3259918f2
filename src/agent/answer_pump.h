#ifndef WAGTAILWIND_AGENT_ANSWER_PUMP_H_
#define WAGTAILWIND_AGENT_ANSWER_PUMP_H_

#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "agent/agent_call.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::agent {

/// \brief Sends a stored answer to a router's sink, at the pace at which the sink takes it, so that
/// no more than the RPC window is held besides the stored answer. Lives on the event loop.
class AnswerPump {
 public:
  /// \brief `notify` is called from other threads when the answer has changed; it must bring about
  /// a call of OnChange() on the loop.
  AnswerPump(std::shared_ptr<StoredAnswer> answer, const AttemptId& id, std::uint64_t offset,
             rpc::schema::AnswerSink::Client sink, std::function<void()> notify);
  ~AnswerPump();
  AnswerPump(const AnswerPump&) = delete;
  AnswerPump& operator=(const AnswerPump&) = delete;

  /// \brief Sends until the end of the answer; fails if the router is gone.
  [[nodiscard]] kj::Promise<void> Run();

  void OnChange();

 private:
  void SendHead(const AnswerHead& head);
  [[nodiscard]] kj::Promise<void> SendChunk(const std::string& bytes);
  [[nodiscard]] kj::Promise<void> SendEnd(const AnswerPart& part);

  const std::shared_ptr<StoredAnswer> m_answer;
  const AttemptId m_id;
  std::uint64_t m_offset;
  rpc::schema::AnswerSink::Client m_sink;
  std::uint64_t m_reader = 0;
  bool m_head_sent = false;
  kj::Promise<void> m_head_reply = kj::READY_NOW;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_waiting;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_ANSWER_PUMP_H_
