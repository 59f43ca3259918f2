#include "histories/verdict.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace wagtailwind::histories {

std::string Verdict::Text() const {
  if (!violations.empty()) {
    return "fail";
  }
  return vacuous.empty() ? "pass" : "vacuous";
}

int ReportVerdict(const Verdict& verdict) {
  for (const Violation& violation : verdict.violations) {
    std::cout << violation.invariant << ": " << violation.detail << '\n';
  }
  nlohmann::ordered_json line;
  line["seed"] = verdict.seed;
  if (!verdict.mutant.empty()) {
    line["mutant"] = verdict.mutant;
  }
  for (const auto& [name, count] : verdict.counts) {
    line[name] = count;
  }
  line["faults"] = verdict.faults;
  if (!verdict.vacuous.empty()) {
    line["vacuous"] = verdict.vacuous;
  }
  line["verdict"] = verdict.Text();
  std::cout << line.dump() << std::endl;
  return verdict.Text() == "pass" ? 0 : 1;
}

}  // namespace wagtailwind::histories
