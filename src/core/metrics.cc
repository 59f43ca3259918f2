#include "core/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>
#include <vector>

namespace wagtailwind {

namespace {

namespace acc = boost::accumulators;

constexpr double kQuantiles[] = {0.5, 0.95, 0.99};
constexpr std::string_view kPrefix = "wagtailwind_";

template <typename Metric>
Metric& GetOrCreate(std::map<std::string, std::unique_ptr<Metric>, std::less<>>& metrics,
                    std::string_view name) {
  const auto found = metrics.find(name);
  if (found != metrics.end()) {
    return *found->second;
  }
  return *metrics.emplace(std::string(name), std::make_unique<Metric>()).first->second;
}

/// Splits `name{label="x"}` into the base name and the labels without braces.
struct MetricName {
  explicit MetricName(std::string_view full_name) {
    const std::size_t brace = full_name.find('{');
    base = full_name.substr(0, brace);
    if (brace != std::string_view::npos) {
      labels = full_name.substr(brace + 1, full_name.size() - brace - 2);
    }
  }

  std::string_view base;
  std::string_view labels;
};

/// Writes the `# TYPE` line unless the previous metric has the same base name.
void WriteType(std::ostream& out, std::string_view& last_base, std::string_view base,
               std::string_view type) {
  if (base != last_base) {
    out << "# TYPE " << kPrefix << base << ' ' << type << '\n';
    last_base = base;
  }
}

}  // namespace

struct DurationSummary::Accumulators {
  using Set =
      acc::accumulator_set<double,
                           acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;
  Set set{acc::extended_p_square_probabilities =
              std::vector<double>(std::begin(kQuantiles), std::end(kQuantiles))};
};

DurationSummary::DurationSummary() : m_accumulators(std::make_unique<Accumulators>()) {}

DurationSummary::~DurationSummary() = default;

void DurationSummary::Record(std::chrono::nanoseconds duration) {
  const std::lock_guard lock(m_mutex);
  m_accumulators->set(std::chrono::duration<double>(duration).count());
}

std::uint64_t DurationSummary::Count() const {
  const std::lock_guard lock(m_mutex);
  return acc::count(m_accumulators->set);
}

double DurationSummary::QuantileSeconds(double quantile) const {
  const std::lock_guard lock(m_mutex);
  if (acc::count(m_accumulators->set) == 0) {
    return 0.0;
  }
  for (std::size_t i = 0; i < std::size(kQuantiles); ++i) {
    if (kQuantiles[i] == quantile) {
      return acc::extended_p_square(m_accumulators->set)[i];
    }
  }
  return 0.0;
}

double DurationSummary::SumSeconds() const {
  const std::lock_guard lock(m_mutex);
  return acc::sum(m_accumulators->set);
}

Counter& MetricsRegistry::GetCounter(std::string_view name) {
  const std::lock_guard lock(m_mutex);
  return GetOrCreate(m_counters, name);
}

Gauge& MetricsRegistry::GetGauge(std::string_view name) {
  const std::lock_guard lock(m_mutex);
  return GetOrCreate(m_gauges, name);
}

DurationSummary& MetricsRegistry::GetDuration(std::string_view name) {
  const std::lock_guard lock(m_mutex);
  return GetOrCreate(m_durations, name);
}

std::string MetricsRegistry::RenderText() const {
  const std::lock_guard lock(m_mutex);
  std::ostringstream out;
  std::string_view last_base;
  for (const auto& [name, counter] : m_counters) {
    WriteType(out, last_base, MetricName(name).base, "counter");
    out << kPrefix << name << ' ' << counter->value() << '\n';
  }
  for (const auto& [name, gauge] : m_gauges) {
    WriteType(out, last_base, MetricName(name).base, "gauge");
    out << kPrefix << name << ' ' << gauge->value() << '\n';
  }
  for (const auto& [full_name, summary] : m_durations) {
    const MetricName name(full_name);
    const std::string separator = name.labels.empty() ? "" : ",";
    WriteType(out, last_base, name.base, "summary");
    for (const double quantile : kQuantiles) {
      out << kPrefix << name.base << '{' << name.labels << separator << "quantile=\"" << quantile
          << "\"} " << summary->QuantileSeconds(quantile) << '\n';
    }
    const std::string braced = name.labels.empty() ? "" : "{" + std::string(name.labels) + "}";
    out << kPrefix << name.base << "_sum" << braced << ' ' << summary->SumSeconds() << '\n';
    out << kPrefix << name.base << "_count" << braced << ' ' << summary->Count() << '\n';
  }
  return out.str();
}

}  // namespace wagtailwind
