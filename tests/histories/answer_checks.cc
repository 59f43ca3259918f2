#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "histories/request_checks.h"
#include "histories/token_text.h"

namespace wagtailwind::histories {

namespace {

std::string Name(const Call& call) {
  return "call " + std::to_string(call.id) + " of " + call.organisation + ": ";
}

bool IsChat(const Call& call) {
  return call.kind == CallKind::kStream || call.kind == CallKind::kChat;
}

/// One answer, joined from the first attempt and the attempts that resumed it.
struct JoinedAnswer {
  std::string text;
  bool is_complete = false;
  bool silent_end = false;
};

std::map<int, JoinedAnswer> JoinAttempts(const Call& call) {
  std::map<int, JoinedAnswer> answers;
  for (const Attempt& attempt : call.attempts) {
    JoinedAnswer& answer = answers[attempt.answer_number];
    answer.text += attempt.text;
    answer.is_complete = answer.is_complete || attempt.is_complete;
    answer.silent_end = answer.silent_end || attempt.silent_end;
  }
  return answers;
}

void CheckJoinedAnswer(const Call& call, const JoinedAnswer& answer, Violations& violations) {
  const TokenTextReport report = CheckTokenText(answer.text, call.body_hash);
  if (!report.crossed.empty()) {
    violations.push_back({"crossed", Name(call) + report.crossed});
  }
  if (!report.broken.empty()) {
    violations.push_back({"incomplete", Name(call) + report.broken});
  }
  if (answer.silent_end) {
    violations.push_back({"incomplete", Name(call) + "a stream ended without [DONE] or error"});
  }
  const bool is_sound = report.crossed.empty() && report.broken.empty();
  if (answer.is_complete && is_sound && report.tokens != call.tokens) {
    violations.push_back({"incomplete", Name(call) + std::to_string(report.tokens) + " of " +
                                            std::to_string(call.tokens) +
                                            " tokens presented as whole"});
  }
}

void CheckServiceAnswer(const Call& call, const Attempt& attempt, Violations& violations) {
  const auto answer = nlohmann::json::parse(attempt.text, nullptr, false);
  if (!answer.is_object()) {
    violations.push_back({"incomplete", Name(call) + "malformed result " + attempt.text});
    return;
  }
  const bool own = answer.value("path", "") == call.path &&
                   answer.value("body_hash", "") == call.body_hash &&
                   answer.value("key", "") == call.key;
  if (!own) {
    violations.push_back({"crossed", Name(call) + "result of another call " + attempt.text});
  }
}

}  // namespace

Violations CheckAnswers(const History& history) {
  Violations violations;
  for (const Call& call : history.calls) {
    if (call.kind == CallKind::kCrossOrganisationResume) {
      for (const Attempt& attempt : call.attempts) {
        if (!attempt.text.empty() || attempt.answer == Answer::kResult) {
          violations.push_back({"crossed", Name(call) + "read another organisation's answer"});
        }
      }
    } else if (IsChat(call)) {
      for (const auto& [number, answer] : JoinAttempts(call)) {
        CheckJoinedAnswer(call, answer, violations);
      }
    } else {
      for (const Attempt& attempt : call.attempts) {
        if (attempt.answer == Answer::kResult) {
          CheckServiceAnswer(call, attempt, violations);
        }
      }
    }
  }
  return violations;
}

Violations CheckAnswered(const History& history) {
  Violations violations;
  for (const Call& call : history.calls) {
    const bool answered = std::any_of(call.attempts.begin(), call.attempts.end(),
                                      [](const Attempt& attempt) { return attempt.is_complete; });
    if (IsChat(call) && !call.given_up && !answered) {
      violations.push_back({"unanswered", Name(call) + "no whole answer"});
    }
  }
  return violations;
}

Violations CheckPlannedStops(const History& history) {
  Violations violations;
  for (const PlannedStop& stop : history.stops) {
    if (stop.exit_status != 0) {
      violations.push_back(
          {"cut_by_stop", stop.process + " ended with status " + std::to_string(stop.exit_status)});
    }
  }
  for (const Call& call : history.calls) {
    if (call.in_planned_stop && (call.attempts.size() != 1 || !call.attempts.front().is_complete)) {
      violations.push_back({"cut_by_stop", Name(call) + "cut in flight"});
    }
  }
  return violations;
}

Violations CheckRequests(const History& history) {
  Violations all;
  for (const auto check :
       {CheckOnceOnly, CheckNotRun, CheckAnswers, CheckAnswered, CheckPlannedStops}) {
    const Violations found = check(history);
    all.insert(all.end(), found.begin(), found.end());
  }
  return all;
}

}  // namespace wagtailwind::histories
