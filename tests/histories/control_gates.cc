#include "histories/control_gates.h"

#include <algorithm>

namespace wagtailwind::histories {

Findings CheckAdmissionClosures(const std::vector<AdmissionClosure>& closures,
                                const std::vector<ExecutedRequest>& requests,
                                std::int64_t bound_ms) {
  Findings findings;
  for (const AdmissionClosure& closure : closures) {
    if (closure.observed == kNever) {
      findings.violations.push_back("never closed: " + closure.endpoint);
      continue;
    }
    const std::int64_t took = closure.observed - closure.requested;
    findings.longest_ms = std::max(findings.longest_ms, took);
    if (took > bound_ms) {
      findings.late.push_back(closure.endpoint + " closed after " + std::to_string(took) + " ms");
    }
    for (const ExecutedRequest& request : requests) {
      if (request.endpoint != closure.endpoint || request.answered >= closure.reopened) {
        continue;
      }
      const std::string what = closure.endpoint + " ran a request that was sent " +
                               std::to_string(request.sent - closure.requested) +
                               " ms after it was to take no new work";
      if (request.sent > closure.observed) {
        findings.violations.push_back(what);
      } else if (request.sent > closure.requested + bound_ms) {
        findings.late.push_back(what);
      }
    }
  }
  return findings;
}

}  // namespace wagtailwind::histories
