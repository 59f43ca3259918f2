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

double Share(double part, double whole) { return whole <= 0 ? 0 : part / whole; }
double Percent(double part, double whole) { return 100 * Share(part, whole); }

double Quantile(std::vector<float> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto at = values.begin() +
                  static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

std::vector<Column> Columns(const Result& r) {
  const auto returns = static_cast<double>(r.returns);
  const auto hits = static_cast<double>(r.hits);
  const auto best_hits = static_cast<double>(r.best_hits);
  const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
  constexpr double kP95 = 0.95;
  constexpr double kP99 = 0.99;
  return {
      {"hit%", Percent(hits, returns), 1},
      {"best%", Percent(best_hits, returns), 1},
      {"of best%", Percent(hits, best_hits), 1},
      {"tok hit%", Percent(r.cached_tokens, r.prefix_tokens), 1},
      {"tok of best%", Percent(r.cached_tokens, r.best_tokens), 1},
      {"moved%", Percent(count(r.imports), returns), 1},
      {"max/mean", Share(r.ratio_sum, count(r.samples)), 2},
      {"p99", Quantile(r.ratios, kP99), 2},
      {"above%", Percent(count(r.samples_above), count(r.samples)), 2},
      {"adm above%", Percent(count(r.admissions_above), count(r.admissions)), 3},
      {"left/event", Share(count(r.prefixes_left), count(r.engine_events)), 1},
      {"high%", Percent(count(r.class_in_time[0]), count(r.class_requests[0])), 1},
      {"normal%", Percent(count(r.class_in_time[1]), count(r.class_requests[1])), 1},
      {"bulk%", Percent(count(r.class_in_time[2]), count(r.class_requests[2])), 1},
      {"surge oth%", Percent(count(r.surge_others_in_time), count(r.surge_others)), 1},
      {"ttft p95", Quantile(r.first_token_times, kP95), 2},
      {"refused%", Percent(count(r.refused), count(r.requests)), 3},
      {"429%", Percent(count(r.over_share), count(r.requests)), 3},
      {"last%", Percent(count(r.last_resorts), count(r.requests)), 2},
      {"asked", Share(count(r.attempts), count(r.requests)), 2},
      {"ctl B/s", r.control_bytes, 0},
      {"mean load", Share(r.mean_load, count(r.samples)), 0},
      {"requests", count(r.requests), 0},
  };
}

}  // namespace

std::string ToTable(const std::vector<NamedResult>& results) {
  constexpr int kNameWidth = 24;
  std::ostringstream text;
  text.setf(std::ios::fixed);
  bool first = true;
  for (const auto& [name, result] : results) {
    const std::vector<Column> columns = Columns(result);
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
    for (const Column& column : Columns(result)) {
      columns[column.name] = column.value;
    }
    document["policies"].push_back(columns);
  }
  return document.dump(2) + "\n";
}

}  // namespace wagtailwind::placement_model
