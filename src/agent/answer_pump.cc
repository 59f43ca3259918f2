#include "agent/answer_pump.h"

#include <utility>

#include "agent/call_reader.h"

namespace wagtailwind::agent {

namespace {

constexpr std::size_t kChunkBytes = std::size_t{16} << 10U;

}  // namespace

AnswerPump::AnswerPump(std::shared_ptr<StoredAnswer> answer, const AttemptId& id,
                       std::uint64_t offset, rpc::schema::AnswerSink::Client sink,
                       std::function<void()> notify)
    : m_answer(std::move(answer)), m_id(id), m_offset(offset), m_sink(kj::mv(sink)) {
  m_reader = m_answer->AddReader(std::move(notify));
}

AnswerPump::~AnswerPump() { m_answer->RemoveReader(m_reader); }

void AnswerPump::OnChange() {
  KJ_IF_MAYBE (fulfiller, m_change_fulfiller) {
    (*fulfiller)->fulfill();
    m_change_fulfiller = nullptr;
  }
}

kj::Promise<void> AnswerPump::Run() {
  const AnswerPart part = m_answer->Read(m_offset, kChunkBytes);
  if (part.head && !m_head_sent) {
    SendHead(*part.head);
  }
  if (!part.bytes.empty()) {
    return SendChunk(part.bytes).then([this] { return Run(); });
  }
  if (part.end) {
    return SendEnd(part);
  }
  // OnChange() runs on the same loop, so no change can be missed before the fulfiller is set.
  auto changed = kj::newPromiseAndFulfiller<void>();
  m_change_fulfiller = kj::mv(changed.fulfiller);
  return changed.promise.then([this] { return Run(); });
}

void AnswerPump::SendHead(const AnswerHead& head) {
  m_head_sent = true;
  auto request = m_sink.headRequest();
  request.setRequestId(capnp::Data::Reader(m_id.request.data(), m_id.request.size()));
  request.setAttempt(m_id.attempt);
  WriteHead(head, request.initHead());
  // Messages to one sink keep their order, so the chunks need not wait for this reply. Its error is
  // ignored because a lost connection also fails the chunks.
  m_head_reply =
      request.send().ignoreResult().eagerlyEvaluate([](const kj::Exception& /*error*/) {});
}

kj::Promise<void> AnswerPump::SendChunk(const std::string& bytes) {
  auto request = m_sink.chunkRequest();
  request.setOffset(m_offset);
  request.setData(
      capnp::Data::Reader(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
  m_offset += bytes.size();
  return request.send();
}

kj::Promise<void> AnswerPump::SendEnd(const AnswerPart& part) {
  auto request = m_sink.endRequest();
  WriteEnd(*part.end, part.total_bytes, request.initEnd());
  return request.send().ignoreResult();
}

}  // namespace wagtailwind::agent
