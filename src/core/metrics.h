#ifndef WAGTAILWIND_CORE_METRICS_H_
#define WAGTAILWIND_CORE_METRICS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace wagtailwind {

/// \brief A counter that only increases.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) noexcept {
    m_value.fetch_add(amount, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t value() const noexcept {
    return m_value.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> m_value{0};
};

/// \brief A value that can increase and decrease.
class Gauge {
 public:
  void Set(double value) noexcept { m_value.store(value, std::memory_order_relaxed); }
  [[nodiscard]] double value() const noexcept { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_value{0};
};

/// \brief Distribution of durations: count, sum, and the quantiles 0.5, 0.95 and 0.99.
class DurationSummary {
 public:
  DurationSummary();
  ~DurationSummary();
  DurationSummary(const DurationSummary&) = delete;
  DurationSummary& operator=(const DurationSummary&) = delete;

  void Record(std::chrono::nanoseconds duration);

  /// \brief Number of recorded durations.
  [[nodiscard]] std::uint64_t Count() const;

  /// \brief Estimate in seconds of the quantile 0.5, 0.95 or 0.99; 0 for any other quantile and
  /// before the first Record().
  [[nodiscard]] double QuantileSeconds(double quantile) const;

  /// \brief Sum of all durations in seconds.
  [[nodiscard]] double SumSeconds() const;

 private:
  struct Accumulators;
  mutable std::mutex m_mutex;
  std::unique_ptr<Accumulators> m_accumulators;
};

/// \brief All metrics of a process. A name may contain labels in Prometheus syntax, such as
/// `requests_total{outcome="result"}`. The Get functions create a metric at first use; the returned
/// references are valid for the lifetime of the registry.
class MetricsRegistry {
 public:
  [[nodiscard]] Counter& GetCounter(std::string_view name);
  [[nodiscard]] Gauge& GetGauge(std::string_view name);
  [[nodiscard]] DurationSummary& GetDuration(std::string_view name);

  /// \brief Renders all metrics in the Prometheus text format, with the name prefix `wagtailwind_`.
  [[nodiscard]] std::string RenderText() const;

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> m_counters;
  std::map<std::string, std::unique_ptr<Gauge>, std::less<>> m_gauges;
  std::map<std::string, std::unique_ptr<DurationSummary>, std::less<>> m_durations;
};

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_METRICS_H_
