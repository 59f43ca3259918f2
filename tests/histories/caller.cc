#include "histories/caller.h"

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "core/hash.h"

namespace wagtailwind::histories {

namespace {

using nlohmann::json;

// Longer than the deadline of a call, so only a router that does not answer at all causes a
// timeout.
constexpr std::chrono::milliseconds kCallTimeout{5'000};
constexpr const char* kDeadlineMs = "4000";
constexpr std::chrono::milliseconds kRetryDelay{50};
// Keeps a run from hanging. After the faults have ended, the fleet answers after far fewer
// attempts.
constexpr int kMaxAttemptsAfterFaults = 1200;
constexpr int kMaxResumes = 5;
constexpr std::uint64_t kCallsPerCaller = 1'000'000;
constexpr std::size_t kChatsPerCaller = 4;

std::string HashText(const std::string& body) {
  return absl::StrCat(absl::Hex(StableHash(body), absl::kZeroPad16));
}

}  // namespace

Caller::Caller(CallerContext& context, std::uint64_t number, std::uint64_t seed)
    : m_context(context),
      m_number(number),
      m_random(StableHash("caller " + std::to_string(number), seed)) {}

std::string Caller::NewKey() {
  const auto time = static_cast<std::uint64_t>(NowMs());
  return absl::StrFormat("%08x-%04x-7%03x-%04x-%012x", time >> 16U, time & 0xffffU,
                         m_random.NextBelow(0x1000), 0x8000U + m_random.NextBelow(0x4000),
                         m_random.Next() >> 16U);
}

Call Caller::NewCall(CallKind kind, const std::string& body) {
  Call call;
  call.id = m_number * kCallsPerCaller + m_next_call++;
  call.kind = kind;
  call.organisation = m_context.organisations[m_random.NextBelow(m_context.organisations.size())];
  call.body_hash = HashText(body);
  return call;
}

std::string Caller::ChatBody(std::uint32_t tokens, bool stream) {
  const std::string text = absl::StrCat("caller ", m_number, " call ", m_next_call);
  return json{{"model", m_context.deployment.model},
              {"stream", stream},
              {"max_tokens", tokens},
              {"messages", {{{"role", "user"}, {"content", text}}}}}
      .dump();
}

CallerRequest Caller::NewRequest(const Call& call, const std::string& body) {
  CallerRequest request;
  const std::size_t router = m_pinned >= 0 ? static_cast<std::size_t>(m_pinned) : m_random.Next();
  request.address = m_context.routers.At(router);
  request.path = "/v1/chat/completions";
  request.body = body;
  request.timeout = kCallTimeout;
  request.headers = {{"Wagtailwind-Organisation", call.organisation},
                     {"Content-Type", "application/json"},
                     {"Wagtailwind-Deadline-Ms", kDeadlineMs}};
  if (!call.key.empty()) {
    request.headers.push_back({"Wagtailwind-Request-Key", call.key});
  }
  return request;
}

Attempt Caller::NewAttempt(const CallerRequest& request) {
  Attempt attempt;
  attempt.start_ms = NowMs();
  attempt.router = request.address;
  return attempt;
}

void Caller::ReadOutcome(const CallerResponse& response, Attempt& attempt) {
  attempt.end_ms = NowMs();
  attempt.status = response.status;
  const std::string_view outcome = http::FindHeader(response.headers, "Wagtailwind-Outcome");
  if (!response.connected) {
    attempt.answer = Answer::kNotConnected;
  } else if (outcome == "not-run" && response.complete) {
    attempt.answer = Answer::kNotRun;
  } else if (outcome == "unknown") {
    attempt.answer = Answer::kUnknown;
  } else if (outcome == "result" && response.complete) {
    attempt.answer = Answer::kResult;
  }
}

bool Caller::WaitBeforeRetry() {
  if (m_context.faults_ended && ++m_attempts_after_faults > kMaxAttemptsAfterFaults) {
    return false;
  }
  std::this_thread::sleep_for(kRetryDelay);
  return true;
}

ParsedEvents Caller::SendStreamAttempt(Call& call, CallerRequest request,
                                       StreamProgress& progress) {
  if (progress.last_id.empty()) {
    ++progress.answer_number;
    progress.resumes = 0;
  } else {
    ++progress.resumes;
    request.body.clear();
    request.headers.push_back({"Last-Event-ID", progress.last_id});
  }
  Attempt attempt = NewAttempt(request);
  attempt.answer_number = progress.answer_number;
  const CallerResponse response = SendAsCaller(request);
  ReadOutcome(response, attempt);
  ParsedEvents events;
  if (response.status == 200) {
    events = ParseEvents(response.body);
    attempt.text = events.text;
    // The answer is complete after the [DONE] event even if the caller then hangs up, so there is
    // nothing to resume.
    attempt.is_complete = events.done;
    attempt.silent_end = response.complete && !events.done && events.error_type.empty();
    if (!events.error_type.empty()) {
      attempt.answer = Answer::kUnknown;
    }
  }
  const bool lost = response.connected && response.status != 200 && response.status != 0;
  if (lost || !events.error_type.empty() || progress.resumes >= kMaxResumes) {
    // The answer can't be resumed, so the next attempt sends the request again from the start.
    progress.last_id.clear();
  } else if (!events.last_id.empty()) {
    progress.last_id = events.last_id;
  }
  call.attempts.push_back(std::move(attempt));
  return events;
}

void Caller::Stream(std::uint32_t tokens, const std::function<void()>& on_bytes,
                    bool single_attempt) {
  const std::string body = ChatBody(tokens, true);
  Call call = NewCall(CallKind::kStream, body);
  call.tokens = tokens;
  call.in_planned_stop = single_attempt;
  call.key = !single_attempt && OneIn(4) ? NewKey() : "";
  const std::string chat = absl::StrCat(m_number, "-", m_random.NextBelow(kChatsPerCaller));
  StreamProgress progress;
  do {
    CallerRequest request = NewRequest(call, body);
    request.headers.push_back({"Wagtailwind-Chat", chat});
    request.on_bytes = on_bytes;
    const bool hangs_up = !single_attempt && !m_context.faults_ended && OneIn(6);
    request.hang_up_after = hangs_up ? 1 + m_random.NextBelow(4'000) : 0;
    const ParsedEvents events = SendStreamAttempt(call, request, progress);
    if (call.attempts.back().is_complete || single_attempt) {
      if (!single_attempt && !events.first_id.empty() && OneIn(3)) {
        ResumeFromOtherOrganisation(call, events.first_id);
      }
      break;
    }
    if (hangs_up && OneIn(3)) {
      call.given_up = true;
      break;
    }
  } while (WaitBeforeRetry());
  m_context.calls.Add(std::move(call));
}

void Caller::ResumeFromOtherOrganisation(const Call& call, const std::string& event_id) {
  Call foreign = NewCall(CallKind::kCrossOrganisationResume, "");
  while (foreign.organisation == call.organisation) {
    foreign.organisation =
        m_context.organisations[m_random.NextBelow(m_context.organisations.size())];
  }
  CallerRequest request = NewRequest(foreign, "");
  request.headers.push_back({"Last-Event-ID", event_id});
  Attempt attempt = NewAttempt(request);
  const CallerResponse response = SendAsCaller(request);
  ReadOutcome(response, attempt);
  attempt.text = ParseEvents(response.body).text;
  foreign.attempts.push_back(std::move(attempt));
  m_context.calls.Add(std::move(foreign));
}

void Caller::Chat(std::uint32_t tokens) {
  const std::string body = ChatBody(tokens, false);
  Call call = NewCall(CallKind::kChat, body);
  call.tokens = tokens;
  do {
    const CallerRequest request = NewRequest(call, body);
    Attempt attempt = NewAttempt(request);
    attempt.answer_number = static_cast<int>(call.attempts.size());
    const CallerResponse response = SendAsCaller(request);
    ReadOutcome(response, attempt);
    if (attempt.answer == Answer::kResult && attempt.status == 200) {
      const json answer = json::parse(response.body, nullptr, false);
      const json::json_pointer content("/choices/0/message/content");
      const bool has_text = answer.is_object() && answer.contains(content);
      attempt.text = has_text ? answer.at(content).get<std::string>() : "malformed";
      attempt.is_complete = true;
    }
    call.attempts.push_back(std::move(attempt));
  } while (!call.attempts.back().is_complete && WaitBeforeRetry());
  m_context.calls.Add(std::move(call));
}

void Caller::AddServiceAttempt(Call& call, Attempt attempt, const CallerResponse& response) {
  ReadOutcome(response, attempt);
  attempt.text = response.body;
  attempt.is_complete = attempt.answer == Answer::kResult;
  call.attempts.push_back(std::move(attempt));
}

CallerRequest Caller::NewServiceRequest(const Call& call, const std::string& body) {
  CallerRequest request = NewRequest(call, body);
  request.path = "/services/" + m_context.deployment.service + call.path;
  return request;
}

void Caller::SendOnceOnlyAttempt(Call& call, const std::string& body, bool may_hang_up) {
  CallerRequest request = NewServiceRequest(call, body);
  if (may_hang_up && OneIn(8)) {
    request.timeout = std::chrono::milliseconds(1 + m_random.NextBelow(100));
  }
  Attempt attempt = NewAttempt(request);
  AddServiceAttempt(call, std::move(attempt), SendAsCaller(request));
}

void Caller::SendTwoAttempts(Call& call, const std::string& body) {
  const CallerRequest first = NewServiceRequest(call, body);
  const CallerRequest second = NewServiceRequest(call, body);
  Attempt first_attempt = NewAttempt(first);
  Attempt second_attempt = NewAttempt(second);
  CallerResponse second_response;
  std::thread thread([&second, &second_response] { second_response = SendAsCaller(second); });
  const CallerResponse first_response = SendAsCaller(first);
  thread.join();
  AddServiceAttempt(call, std::move(first_attempt), first_response);
  AddServiceAttempt(call, std::move(second_attempt), second_response);
}

void Caller::OnceOnly(bool single_attempt) {
  const std::string body = json{{"caller", m_number}, {"pickup", m_next_call}}.dump();
  Call call = NewCall(CallKind::kOnceOnly, body);
  call.path = m_context.deployment.non_repeatable_path;
  call.key = NewKey();
  call.in_planned_stop = single_attempt;
  for (bool again = true; again;) {
    if (!single_attempt && OneIn(4)) {
      SendTwoAttempts(call, body);
    } else {
      SendOnceOnlyAttempt(call, body, !single_attempt);
    }
    const Answer answer = call.attempts.back().answer;
    // Sometimes stops after "not run", so that a later execution can't be explained by another
    // attempt.
    again = !single_attempt && call.attempts.size() < 4 && answer != Answer::kResult && OneIn(2);
    if (again) {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
  if (!single_attempt && OneIn(10)) {
    ReuseKeyInOtherOrganisation(call);
  }
  if (single_attempt) {
    m_context.calls.Add(std::move(call));
  } else {
    m_once_only.push_back({std::move(call), body});
  }
}

void Caller::RepeatOnceOnly() {
  if (m_once_only.empty()) {
    return;
  }
  OnceOnlyRecord& record = m_once_only[m_random.NextBelow(m_once_only.size())];
  const Answer answer = record.call.attempts.back().answer;
  if (answer != Answer::kNotRun && answer != Answer::kNotConnected) {
    SendOnceOnlyAttempt(record.call, record.body, false);
  }
}

void Caller::ReuseKeyInOtherOrganisation(const Call& call) {
  const std::string body = json{{"caller", m_number}, {"pickup", m_next_call}}.dump();
  Call other = NewCall(CallKind::kOnceOnly, body);
  other.path = call.path;
  other.key = call.key;
  if (other.organisation != call.organisation) {
    SendOnceOnlyAttempt(other, body, false);
    m_once_only.push_back({std::move(other), body});
  }
}

void Caller::Lookup() {
  Call call = NewCall(CallKind::kLookup, "");
  call.path = "/status/" + std::to_string(call.id);
  CallerRequest request = NewServiceRequest(call, "");
  request.method = "GET";
  Attempt attempt = NewAttempt(request);
  AddServiceAttempt(call, std::move(attempt), SendAsCaller(request));
  m_context.calls.Add(std::move(call));
}

void Caller::Run() {
  while (!m_context.stopping) {
    const std::uint64_t choice = m_random.NextBelow(10);
    const auto tokens = static_cast<std::uint32_t>(5 + m_random.NextBelow(60));
    if (choice < 3) {
      Stream(tokens);
    } else if (choice < 4) {
      Chat(tokens);
    } else if (choice < 7) {
      OnceOnly();
    } else if (choice < 9) {
      RepeatOnceOnly();
    } else {
      Lookup();
    }
  }
  for (OnceOnlyRecord& record : m_once_only) {
    m_context.calls.Add(std::move(record.call));
  }
  m_once_only.clear();
}

}  // namespace wagtailwind::histories
