#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "histories/request_checks.h"

namespace wagtailwind::histories {

namespace {

/// Calls by the body hash that an execution records.
using CallIndex = std::multimap<std::string, const Call*>;

CallIndex IndexCalls(const History& history) {
  CallIndex index;
  for (const Call& call : history.calls) {
    if (call.kind != CallKind::kCrossOrganisationResume && call.kind != CallKind::kLookup) {
      index.emplace(call.body_hash, &call);
    }
  }
  return index;
}

bool MayHaveRun(const Attempt& attempt) {
  return attempt.answer != Answer::kNotRun && attempt.answer != Answer::kNotConnected;
}

/// Whether an attempt of the call explains the execution.
bool Explains(const Call& call, const Execution& execution) {
  const bool is_chat = call.kind != CallKind::kOnceOnly;
  if (is_chat != execution.generation || (!is_chat && call.key != execution.key)) {
    return false;
  }
  return std::any_of(call.attempts.begin(), call.attempts.end(), [&](const Attempt& attempt) {
    return MayHaveRun(attempt) && attempt.start_ms <= execution.start_ms;
  });
}

std::string Describe(const Execution& execution) {
  return execution.endpoint + " ran " + execution.body_hash +
         (execution.key.empty() ? "" : " with key " + execution.key) + " at " +
         std::to_string(execution.start_ms);
}

std::string Confirmation(const std::string& body) {
  const auto answer = nlohmann::json::parse(body, nullptr, false);
  return answer.is_object() ? answer.value("confirmation", "") : "";
}

}  // namespace

Violations CheckOnceOnly(const History& history) {
  const CallIndex calls = IndexCalls(history);
  Violations violations;
  std::map<std::pair<std::string, std::string>, int> runs;
  for (const Execution& execution : history.executions) {
    if (execution.generation || execution.repeatable) {
      continue;
    }
    const auto call = calls.find(execution.body_hash);
    const std::string organisation = call == calls.end() ? "" : call->second->organisation;
    if (++runs[{organisation, execution.key}] == 2) {
      violations.push_back({"duplicate", Describe(execution) + " again"});
    }
  }
  for (const Call& call : history.calls) {
    std::set<std::string> confirmations;
    for (const Attempt& attempt : call.attempts) {
      if (call.kind == CallKind::kOnceOnly && attempt.answer == Answer::kResult) {
        confirmations.insert(Confirmation(attempt.text));
      }
    }
    if (confirmations.size() > 1) {
      violations.push_back({"duplicate", "two confirmations for key " + call.key});
    }
  }
  return violations;
}

Violations CheckNotRun(const History& history) {
  const CallIndex calls = IndexCalls(history);
  Violations violations;
  for (const Execution& execution : history.executions) {
    if (!execution.generation && execution.repeatable) {
      continue;
    }
    const auto [first, last] = calls.equal_range(execution.body_hash);
    const bool explained = std::any_of(
        first, last, [&](const auto& entry) { return Explains(*entry.second, execution); });
    if (!explained) {
      violations.push_back({"false_not_run", Describe(execution)});
    }
  }
  return violations;
}

}  // namespace wagtailwind::histories
