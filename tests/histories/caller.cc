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

// Longer than the deadline of the calls, so that only a router that does not answer at all is lost.
constexpr std::chrono::milliseconds kTimeout{5'000};
constexpr const char* kDeadlineMs = "4000";
constexpr std::chrono::milliseconds kPause{50};
// Only guards against a run that never ends; a healed fleet answers long before.
constexpr int kMaxTriesAfterHeal = 1200;
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
                         m_random.Below(0x1000), 0x8000U + m_random.Below(0x4000),
                         m_random.Next() >> 16U);
}

Call Caller::NewCall(CallKind kind, const std::string& body) {
  Call call;
  call.id = m_number * kCallsPerCaller + m_next++;
  call.kind = kind;
  call.organisation = m_context.organisations[m_random.Below(m_context.organisations.size())];
  call.body_hash = HashText(body);
  return call;
}

std::string Caller::ChatBody(std::uint32_t tokens, bool stream) {
  const std::string text = absl::StrCat("caller ", m_number, " call ", m_next);
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
  request.timeout = kTimeout;
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

bool Caller::MayTryAgain() {
  if (m_context.healed && ++m_tries_after_heal > kMaxTriesAfterHeal) {
    return false;
  }
  std::this_thread::sleep_for(kPause);
  return true;
}

EventReading Caller::StreamAttempt(Call& call, CallerRequest request, Position& position) {
  if (position.last_id.empty()) {
    ++position.reading;
    position.resumes = 0;
  } else {
    ++position.resumes;
    request.body.clear();
    request.headers.push_back({"Last-Event-ID", position.last_id});
  }
  Attempt attempt = NewAttempt(request);
  attempt.reading = position.reading;
  const CallerResponse response = SendAsCaller(request);
  ReadOutcome(response, attempt);
  EventReading events;
  if (response.status == 200) {
    events = ReadEvents(response.body);
    attempt.text = events.text;
    // A caller that hangs up after this event has the whole answer, and nothing is left to resume.
    attempt.whole = events.done;
    attempt.silent_end = response.complete && !events.done && events.error_type.empty();
    if (!events.error_type.empty()) {
      attempt.answer = Answer::kUnknown;
    }
  }
  const bool lost = response.connected && response.status != 200 && response.status != 0;
  if (lost || !events.error_type.empty() || position.resumes >= kMaxResumes) {
    // The answer can't go on, so the request starts anew.
    position.last_id.clear();
  } else if (!events.last_id.empty()) {
    position.last_id = events.last_id;
  }
  call.attempts.push_back(std::move(attempt));
  return events;
}

void Caller::Stream(std::uint32_t tokens, const std::function<void()>& on_bytes, bool once) {
  const std::string body = ChatBody(tokens, true);
  Call call = NewCall(CallKind::kStream, body);
  call.tokens = tokens;
  call.in_planned_stop = once;
  call.key = !once && OneIn(4) ? NewKey() : "";
  const std::string chat = absl::StrCat(m_number, "-", m_random.Below(kChatsPerCaller));
  Position position;
  do {
    CallerRequest request = NewRequest(call, body);
    request.headers.push_back({"Wagtailwind-Chat", chat});
    request.on_bytes = on_bytes;
    const bool hangs_up = !once && !m_context.healed && OneIn(6);
    request.hang_up_after = hangs_up ? 1 + m_random.Below(4'000) : 0;
    const EventReading events = StreamAttempt(call, request, position);
    if (call.attempts.back().whole || once) {
      if (!once && !events.first_id.empty() && OneIn(3)) {
        ForeignResume(call, events.first_id);
      }
      break;
    }
    if (hangs_up && OneIn(3)) {
      call.given_up = true;
      break;
    }
  } while (MayTryAgain());
  m_context.calls.Add(std::move(call));
}

void Caller::ForeignResume(const Call& call, const std::string& event_id) {
  Call foreign = NewCall(CallKind::kForeignResume, "");
  while (foreign.organisation == call.organisation) {
    foreign.organisation = m_context.organisations[m_random.Below(m_context.organisations.size())];
  }
  CallerRequest request = NewRequest(foreign, "");
  request.headers.push_back({"Last-Event-ID", event_id});
  Attempt attempt = NewAttempt(request);
  const CallerResponse response = SendAsCaller(request);
  ReadOutcome(response, attempt);
  attempt.text = ReadEvents(response.body).text;
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
    attempt.reading = static_cast<int>(call.attempts.size());
    const CallerResponse response = SendAsCaller(request);
    ReadOutcome(response, attempt);
    if (attempt.answer == Answer::kResult && attempt.status == 200) {
      const json answer = json::parse(response.body, nullptr, false);
      const json::json_pointer content("/choices/0/message/content");
      const bool has_text = answer.is_object() && answer.contains(content);
      attempt.text = has_text ? answer.at(content).get<std::string>() : "malformed";
      attempt.whole = true;
    }
    call.attempts.push_back(std::move(attempt));
  } while (!call.attempts.back().whole && MayTryAgain());
  m_context.calls.Add(std::move(call));
}

void Caller::AddServiceAttempt(Call& call, Attempt attempt, const CallerResponse& response) {
  ReadOutcome(response, attempt);
  attempt.text = response.body;
  attempt.whole = attempt.answer == Answer::kResult;
  call.attempts.push_back(std::move(attempt));
}

CallerRequest Caller::NewServiceRequest(const Call& call, const std::string& body) {
  CallerRequest request = NewRequest(call, body);
  request.path = "/services/" + m_context.deployment.service + call.path;
  return request;
}

void Caller::OnceOnlyAttempt(Call& call, const std::string& body, bool may_hang_up) {
  CallerRequest request = NewServiceRequest(call, body);
  if (may_hang_up && OneIn(8)) {
    request.timeout = std::chrono::milliseconds(1 + m_random.Below(100));
  }
  Attempt attempt = NewAttempt(request);
  AddServiceAttempt(call, std::move(attempt), SendAsCaller(request));
}

void Caller::TwoAttemptsAtOnce(Call& call, const std::string& body) {
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

void Caller::OnceOnly(bool once) {
  const std::string body = json{{"caller", m_number}, {"pickup", m_next}}.dump();
  Call call = NewCall(CallKind::kOnceOnly, body);
  call.path = m_context.deployment.non_repeatable_path;
  call.key = NewKey();
  call.in_planned_stop = once;
  for (bool again = true; again;) {
    if (!once && OneIn(4)) {
      TwoAttemptsAtOnce(call, body);
    } else {
      OnceOnlyAttempt(call, body, !once);
    }
    const Answer answer = call.attempts.back().answer;
    // A call that was not run is left at times, so that a later execution has no other cause.
    again = !once && call.attempts.size() < 4 && answer != Answer::kResult && OneIn(2);
    if (again) {
      std::this_thread::sleep_for(kPause);
    }
  }
  if (!once && OneIn(10)) {
    SameKeyOfAnother(call);
  }
  if (once) {
    m_context.calls.Add(std::move(call));
  } else {
    m_once_only.push_back({std::move(call), body});
  }
}

void Caller::RepeatOnceOnly() {
  if (m_once_only.empty()) {
    return;
  }
  Done& done = m_once_only[m_random.Below(m_once_only.size())];
  const Answer answer = done.call.attempts.back().answer;
  if (answer != Answer::kNotRun && answer != Answer::kNotConnected) {
    OnceOnlyAttempt(done.call, done.body, false);
  }
}

void Caller::SameKeyOfAnother(const Call& call) {
  const std::string body = json{{"caller", m_number}, {"pickup", m_next}}.dump();
  Call other = NewCall(CallKind::kOnceOnly, body);
  other.path = call.path;
  other.key = call.key;
  if (other.organisation != call.organisation) {
    OnceOnlyAttempt(other, body, false);
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
    const std::uint64_t choice = m_random.Below(10);
    const auto tokens = static_cast<std::uint32_t>(5 + m_random.Below(60));
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
  for (Done& done : m_once_only) {
    m_context.calls.Add(std::move(done.call));
  }
  m_once_only.clear();
}

}  // namespace wagtailwind::histories
