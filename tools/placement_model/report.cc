#include "placement_model/report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wagtailwind::placement_model {

namespace {

struct Column {
  const char* name;
  double value;
  int digits;
};

// Returns 0 if there is nothing to divide by.
double Ratio(double numerator, double denominator) {
  return denominator <= 0 ? 0 : numerator / denominator;
}
double Percent(double numerator, double denominator) { return 100 * Ratio(numerator, denominator); }

double Quantile(std::vector<float> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto at = values.begin() +
                  static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

std::vector<Column> MakeColumns(const Result& r) {
  const auto returning_requests = static_cast<double>(r.returning_requests);
  const auto hits = static_cast<double>(r.hits);
  const auto ideal_hits = static_cast<double>(r.ideal_hits);
  const auto to_double = [](std::uint64_t value) { return static_cast<double>(value); };
  constexpr double kP95 = 0.95;
  constexpr double kP99 = 0.99;
  return {
      {"hit%", Percent(hits, returning_requests), 1},
      {"best%", Percent(ideal_hits, returning_requests), 1},
      {"of best%", Percent(hits, ideal_hits), 1},
      {"tok hit%", Percent(r.cached_tokens, r.prefix_tokens), 1},
      {"tok of best%", Percent(r.cached_tokens, r.ideal_tokens), 1},
      {"moved%", Percent(to_double(r.imports), returning_requests), 1},
      {"max/mean", Ratio(r.load_ratio_sum, to_double(r.samples)), 2},
      {"p99", Quantile(r.load_ratios, kP99), 2},
      {"above%", Percent(to_double(r.samples_above_bound), to_double(r.samples)), 2},
      {"adm above%", Percent(to_double(r.admissions_above_bound), to_double(r.admissions)), 3},
      {"left/event", Ratio(to_double(r.abandoned_prefixes), to_double(r.engine_events)), 1},
      {"high%", Percent(to_double(r.class_within_deadline[0]), to_double(r.class_requests[0])), 1},
      {"normal%", Percent(to_double(r.class_within_deadline[1]), to_double(r.class_requests[1])),
       1},
      {"bulk%", Percent(to_double(r.class_within_deadline[2]), to_double(r.class_requests[2])), 1},
      {"surge oth%",
       Percent(to_double(r.surge_other_within_deadline), to_double(r.surge_other_requests)), 1},
      {"ttft p95", Quantile(r.first_token_times, kP95), 2},
      {"refused%", Percent(to_double(r.refused), to_double(r.requests)), 3},
      {"429%", Percent(to_double(r.refused_over_share), to_double(r.requests)), 3},
      {"last%", Percent(to_double(r.last_resorts), to_double(r.requests)), 2},
      {"asked", Ratio(to_double(r.attempts), to_double(r.requests)), 2},
      {"ctl B/s", r.control_bytes_per_second, 0},
      {"mean load", Ratio(r.mean_load_sum, to_double(r.samples)), 0},
      {"requests", to_double(r.requests), 0},
  };
}

}  // namespace

std::string ToTable(const std::vector<NamedResult>& results) {
  constexpr int kNameWidth = 24;
  std::ostringstream text;
  text.setf(std::ios::fixed);
  bool first = true;
  for (const auto& [name, result] : results) {
    const std::vector<Column> columns = MakeColumns(result);
    const auto width = [](const Column& column) {
      return std::max<int>(static_cast<int>(std::string_view(column.name).size()), 6) + 1;
    };
    if (first) {
      text << std::string(kNameWidth, ' ');
      for (const Column& column : columns) {
        text.width(width(column));
        text << column.name;
      }
      text << '\n';
      first = false;
    }
    text << name << std::string(kNameWidth - std::min<std::size_t>(kNameWidth, name.size()), ' ');
    for (const Column& column : columns) {
      text.width(width(column));
      text.precision(column.digits);
      text << column.value;
    }
    text << '\n';
  }
  return text.str();
}

std::string ToJson(const std::string& size, std::uint64_t seed,
                   const std::vector<NamedResult>& results) {
  nlohmann::ordered_json document = {{"size", size}, {"seed", seed}};
  for (const auto& [name, result] : results) {
    nlohmann::ordered_json columns = {{"policy", name}};
    for (const Column& column : MakeColumns(result)) {
      columns[column.name] = column.value;
    }
    document["policies"].push_back(columns);
  }
  return document.dump(2) + "\n";
}

}  // namespace wagtailwind::placement_model
