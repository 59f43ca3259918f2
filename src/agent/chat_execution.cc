#include "agent/chat_execution.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "agent/log_events.h"
#include "core/mutant.h"

namespace wagtailwind::agent {

namespace {

using endpoint::TransferEnd;
using requests::FailureReason;
using requests::Outcome;

constexpr int kFirstErrorStatus = 400;
constexpr int kStatusOk = 200;
// Limits consecutive resumes that deliver no data; a stream that makes progress may be resumed more
// often.
constexpr int kMaxResumesWithoutData = 3;
constexpr std::string_view kStreamTerminator = "data: [DONE]\n\n";

constexpr AnswerEnd kCompleteAnswer{true, Outcome::kResult, FailureReason::kNone};

AnswerEnd IncompleteAnswer(FailureReason reason) { return {false, Outcome::kUnknown, reason}; }

/// Counts the output tokens in a part of an event stream, which has one event per token.
std::uint32_t CountEvents(std::string_view data) {
  std::uint32_t count = 0;
  for (std::size_t at = data.find("data:"); at != std::string_view::npos;
       at = data.find("data:", at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

ChatExecution::ChatExecution(std::shared_ptr<FlowCore> core, AgentCall call,
                             std::shared_ptr<StoredAnswer> answer)
    : m_core(std::move(core)),
      m_call(std::move(call)),
      m_answer(std::move(answer)),
      m_deadline(m_core->parts.clock.Now() + m_call.deadline) {}

void ChatExecution::Start(std::uint64_t reservation, std::uint32_t priority_rank) {
  m_reservation = reservation;
  m_number = m_core->Add(shared_from_this(), reservation);
  endpoint::GenerationRequest request;
  request.request_id = m_call.id.request;
  request.body = Chat().body;
  request.stream = Chat().stream;
  request.priority_rank = priority_rank;
  request.timeout = Remaining();
  SetTransfer(m_core->parts.engine->Generate(request, shared_from_this()));
}

std::chrono::milliseconds ChatExecution::Remaining() const {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - m_core->parts.clock.Now());
  // libcurl takes a timeout of zero as no timeout.
  return std::max(remaining, std::chrono::milliseconds(1));
}

void ChatExecution::SetTransfer(const std::shared_ptr<endpoint::Transfer>& transfer) {
  bool aborted = false;
  {
    const absl::MutexLock lock(&m_mutex);
    m_transfer = transfer;
    aborted = m_aborted;
  }
  if (aborted) {
    transfer->Cancel();
  }
}

void ChatExecution::Cancel() {
  // A caller with a request key may come back for the answer; CancelIfUnread() cancels the
  // generation if none does.
  if (m_call.request_key.empty()) {
    CancelGeneration(FailureReason::kCancelled);
  }
}

void ChatExecution::CancelIfUnread(std::chrono::milliseconds max_unread) {
  const std::optional<SteadyTime> unread_since = m_answer->UnreadSince();
  if (unread_since && m_core->parts.clock.Now() - *unread_since >= max_unread) {
    Log(kUnreadCancelled, {{"answer", m_answer->Id()}});
    CancelGeneration(FailureReason::kCancelled);
  }
}

void ChatExecution::CancelGeneration(FailureReason reason) {
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_aborted || m_stop_reason) {
      return;
    }
    m_stop_reason = reason;
    if (m_stream_id.empty() && m_status == 0) {
      // The engine's stream id is not known yet; OnAccepted() cancels the stream.
      return;
    }
  }
  CancelEngineStream();
}

void ChatExecution::CancelEngineStream() {
  std::shared_ptr<endpoint::Transfer> transfer;
  std::string stream_id;
  {
    const absl::MutexLock lock(&m_mutex);
    transfer = m_transfer;
    stream_id = m_stream_id;
  }
  if (!stream_id.empty()) {
    m_core->parts.engine->CancelStream(stream_id);
  }
  if (transfer) {
    transfer->Cancel();
  }
}

void ChatExecution::Abort(FailureReason reason) {
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_aborted) {
      return;
    }
    m_aborted = true;
    m_stop_reason = m_stop_reason.value_or(reason);
  }
  // The execution is only removed when the transfer ends, so that no callback follows its removal.
  m_answer->SetEnd(IncompleteAnswer(reason));
  CancelEngineStream();
}

bool ChatExecution::IsAborted() {
  const absl::MutexLock lock(&m_mutex);
  return m_aborted;
}

void ChatExecution::OnAccepted(int status, std::string_view stream_id,
                               std::uint32_t cached_tokens) {
  bool stopped = false;
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_resuming) {
      m_resume_refused = status != kStatusOk;
      return;
    }
    m_status = status;
    m_stream_id = stream_id;
    stopped = m_stop_reason.has_value();
  }
  if (stopped) {
    CancelEngineStream();
    return;
  }
  const bool is_event_stream = Chat().stream && status < kFirstErrorStatus;
  m_answer->SetHead({status,
                     {{"Content-Type", is_event_stream ? "text/event-stream" : "application/json"}},
                     cached_tokens});
}

void ChatExecution::OnData(std::string_view data) {
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_resume_refused || m_stop_reason) {
      return;
    }
    m_resumes_without_data = 0;
  }
  if (!m_core->answers.Append(*m_answer, data)) {
    Log(kAnswerOverLimit, {{"answer", m_answer->Id()}});
    CancelGeneration(FailureReason::kAnswerTooLarge);
    return;
  }
  m_core->parts.gate.RecordOutput(m_reservation, CountEvents(data));
}

void ChatExecution::OnEnd(TransferEnd end) {
  if (end == TransferEnd::kConnectionLost && IsMutantEnabled("cut_answer_is_whole")) {
    Finish(kCompleteAnswer);
    return;
  }
  if (end == TransferEnd::kConnectionLost && TryResume()) {
    return;
  }
  const bool engine_may_continue = end == TransferEnd::kDeadlineExceeded ||
                                   end == TransferEnd::kAnswerTooLarge ||
                                   end == TransferEnd::kMalformedAnswer;
  if (engine_may_continue && !IsAborted()) {
    CancelEngineStream();
  }
  Finish(ToAnswerEnd(end));
}

bool ChatExecution::TryResume() {
  std::string stream_id;
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_stop_reason || m_resume_refused || m_stream_id.empty() || m_status != kStatusOk ||
        m_resumes_without_data >= kMaxResumesWithoutData ||
        m_core->parts.clock.Now() >= m_deadline) {
      return false;
    }
    m_resuming = true;
    ++m_resumes_without_data;
    stream_id = m_stream_id;
  }
  const std::size_t offset = m_answer->Size();
  Log(kStreamResumed, {{"answer", m_answer->Id()}, {"offset", offset}});
  m_core->parts.metrics.GetCounter("agent_stream_resumes_total").Add();
  if (IsMutantEnabled("resume_starts_new_generation")) {
    endpoint::GenerationRequest request;
    request.body = Chat().body;
    request.stream = Chat().stream;
    request.timeout = Remaining();
    SetTransfer(m_core->parts.engine->Generate(request, shared_from_this()));
    return true;
  }
  SetTransfer(m_core->parts.engine->Resume(stream_id, offset, Remaining(), shared_from_this()));
  return true;
}

bool ChatExecution::IsComplete() const {
  if (Chat().stream) {
    return m_answer->EndsWith(kStreamTerminator);
  }
  return m_answer->Satisfies([](std::string_view bytes) { return nlohmann::json::accept(bytes); });
}

AnswerEnd ChatExecution::CheckCompletedAnswer() {
  int status = 0;
  {
    const absl::MutexLock lock(&m_mutex);
    status = m_status;
    if (m_resume_refused) {
      return IncompleteAnswer(FailureReason::kEngineLost);
    }
  }
  if (status < kFirstErrorStatus && !IsComplete()) {
    return IncompleteAnswer(FailureReason::kEngineLost);
  }
  if (status == kStatusOk && !Chat().chat.empty()) {
    m_core->prefixes->Store(m_call.organisation, Chat().chat, Chat().prompt_tokens);
  }
  return kCompleteAnswer;
}

AnswerEnd ChatExecution::ToAnswerEnd(TransferEnd end) {
  std::optional<FailureReason> stop_reason;
  bool resuming = false;
  {
    const absl::MutexLock lock(&m_mutex);
    stop_reason = m_stop_reason;
    resuming = m_resuming;
  }
  if (stop_reason) {
    return IncompleteAnswer(*stop_reason);
  }
  switch (end) {
    case TransferEnd::kComplete:
      return CheckCompletedAnswer();
    case TransferEnd::kNotSent:
      return resuming ? IncompleteAnswer(FailureReason::kEngineLost)
                      : AnswerEnd{false, Outcome::kNotRun, FailureReason::kEndpointUnhealthy};
    case TransferEnd::kDeadlineExceeded:
      return IncompleteAnswer(FailureReason::kDeadlineExceeded);
    case TransferEnd::kCancelled:
      return IncompleteAnswer(FailureReason::kCancelled);
    case TransferEnd::kAnswerTooLarge:
      return IncompleteAnswer(FailureReason::kAnswerTooLarge);
    case TransferEnd::kConnectionLost:
    case TransferEnd::kMalformedAnswer:
      break;
  }
  return IncompleteAnswer(FailureReason::kEngineLost);
}

void ChatExecution::Finish(AnswerEnd end) {
  if (end.reason == FailureReason::kEngineLost) {
    Log(kEngineLost, {{"answer", m_answer->Id()}, {"bytes", m_answer->Size()}});
  }
  m_core->Finish(m_number, *m_answer, end);
}

}  // namespace wagtailwind::agent
