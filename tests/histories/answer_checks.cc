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

/// One answer as its reader has it after all resumes.
struct Reading {
  std::string text;
  bool whole = false;
  bool silent_end = false;
};

std::map<int, Reading> Join(const Call& call) {
  std::map<int, Reading> readings;
  for (const Attempt& attempt : call.attempts) {
    Reading& reading = readings[attempt.reading];
    reading.text += attempt.text;
    reading.whole = reading.whole || attempt.whole;
    reading.silent_end = reading.silent_end || attempt.silent_end;
  }
  return readings;
}

void CheckReading(const Call& call, const Reading& reading, Violations& violations) {
  const TextReport report = ReadTokenText(reading.text, call.body_hash);
  if (!report.crossed.empty()) {
    violations.push_back({"crossed", Name(call) + report.crossed});
  }
  if (!report.broken.empty()) {
    violations.push_back({"incomplete", Name(call) + report.broken});
  }
  if (reading.silent_end) {
    violations.push_back({"incomplete", Name(call) + "a stream ended without [DONE] or error"});
  }
  const bool is_sound = report.crossed.empty() && report.broken.empty();
  if (reading.whole && is_sound && report.tokens != call.tokens) {
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
    if (call.kind == CallKind::kForeignResume) {
      for (const Attempt& attempt : call.attempts) {
        if (!attempt.text.empty() || attempt.answer == Answer::kResult) {
          violations.push_back({"crossed", Name(call) + "read another organisation's answer"});
        }
      }
    } else if (IsChat(call)) {
      for (const auto& [number, reading] : Join(call)) {
        CheckReading(call, reading, violations);
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
                                      [](const Attempt& attempt) { return attempt.whole; });
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
    if (call.in_planned_stop && (call.attempts.size() != 1 || !call.attempts.front().whole)) {
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
