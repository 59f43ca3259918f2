#ifndef WAGTAILWIND_AGENT_ANSWER_PUMP_H_
#define WAGTAILWIND_AGENT_ANSWER_PUMP_H_

#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "agent/agent_call.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::agent {

/// \brief Streams a stored answer to a router's sink with flow control, so that at most one RPC
/// window is buffered besides the stored answer. Lives on the event loop.
class AnswerPump {
 public:
  /// \brief `notify` is called from other threads when the answer has changed; it must schedule a
  /// call of OnChange() on the loop.
  AnswerPump(std::shared_ptr<StoredAnswer> answer, const AttemptId& id, std::uint64_t offset,
             rpc::schema::AnswerSink::Client sink, std::function<void()> notify);
  ~AnswerPump();
  AnswerPump(const AnswerPump&) = delete;
  AnswerPump& operator=(const AnswerPump&) = delete;

  /// \brief Sends the answer up to its end; fails if the connection to the router is lost.
  [[nodiscard]] kj::Promise<void> Run();

  /// \brief Continues Run() after a change of the answer.
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
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> m_change_fulfiller;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_ANSWER_PUMP_H_
