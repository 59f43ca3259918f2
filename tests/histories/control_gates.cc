#include "histories/control_gates.h"

#include <algorithm>

namespace wagtailwind::histories {

Findings CheckClosedGates(const std::vector<ClosedGate>& gates,
                          const std::vector<ExecutedRequest>& requests, std::int64_t bound_ms) {
  Findings findings;
  for (const ClosedGate& gate : gates) {
    if (gate.seen == kNever) {
      findings.violations.push_back("never closed: " + gate.endpoint);
      continue;
    }
    const std::int64_t took = gate.seen - gate.ordered;
    findings.longest_ms = std::max(findings.longest_ms, took);
    if (took > bound_ms) {
      findings.late.push_back(gate.endpoint + " closed after " + std::to_string(took) + " ms");
    }
    for (const ExecutedRequest& request : requests) {
      if (request.endpoint != gate.endpoint || request.answered >= gate.reopening) {
        continue;
      }
      const std::string what = gate.endpoint + " ran a request that was sent " +
                               std::to_string(request.sent - gate.ordered) +
                               " ms after it was to take no new work";
      if (request.sent > gate.seen) {
        findings.violations.push_back(what);
      } else if (request.sent > gate.ordered + bound_ms) {
        findings.late.push_back(what);
      }
    }
  }
  return findings;
}

}  // namespace wagtailwind::histories
