#include "histories/requests_run.h"

namespace wagtailwind::histories {

Verdict RunRequests(const RunOptions& options) {
  Verdict verdict;
  verdict.seed = options.seed;
  verdict.mutant = options.mutant;
  verdict.vacuous = "no callers yet";
  return verdict;
}

}  // namespace wagtailwind::histories
