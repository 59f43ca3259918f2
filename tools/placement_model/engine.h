#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_ENGINE_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_ENGINE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "placement_model/scenario.h"

namespace wagtailwind::placement_model {

/// \brief Prefix cache of an engine, limited in tokens. Evicts whole prefixes, the least recently
/// stored first.
class PrefixCache {
 public:
  explicit PrefixCache(double max_tokens) : m_max_tokens(max_tokens) {}
  /// \brief Stores the prefix of a chat in place of its previous one.
  void Store(int chat, double tokens);
  void Clear();
  /// \brief Returns the tokens cached for a chat; 0 if there are none.
  [[nodiscard]] double Find(int chat) const;

 private:
  struct Entry {
    int chat;
    double tokens;
  };
  double m_max_tokens;
  double m_tokens = 0;
  /// Least recently stored first.
  std::list<Entry> m_by_age;
  std::unordered_map<int, std::list<Entry>::iterator> m_entries;
};

/// \brief Work of one request at an engine, in tokens. `prompt` excludes the cached prefix; lower
/// ranks are prefilled first.
struct Job {
  int request = 0;
  int rank = 0;
  double prompt = 0;
  double output = 0;
  double max_output = 0;
  std::uint64_t reservation = 0;
};

/// \brief Model of an engine. It prefills one job at a time in the order of rank and arrival, and
/// decodes all prefilled jobs concurrently at a speed that falls with their number.
class Engine {
 public:
  explicit Engine(const Scenario& scenario) : cache(scenario.cache_tokens), m_scenario(&scenario) {}

  /// \brief Result of Advance(): a job whose prefill or whose decoding is complete, if any.
  struct Step {
    std::optional<Job> first_token;
    std::optional<Job> complete;
  };

  void Add(const Job& job, double now);
  /// \brief Returns the time at which the next prefill or decoding completes; empty if idle.
  [[nodiscard]] std::optional<double> NextStep() const;
  /// \brief Advances to `now` and completes at most one prefill or decoding.
  Step Advance(double now);
  /// \brief Cancels all jobs, clears the cache and returns the cancelled jobs.
  std::vector<Job> Stop();

  /// \brief Returns the work of waiting and running jobs in work tokens.
  [[nodiscard]] double Load(double now) const;
  /// \brief Calls `report(reservation, tokens)` for each stream with the output tokens since the
  /// last call.
  template <typename Report>
  void ReportProgress(double now, const Report& report) {
    UpdateVirtualTime(now);
    for (auto& [key, stream] : m_decoding) {
      const double produced = stream.job.output - (key.first - m_virtual_time);
      const auto whole_tokens = static_cast<std::uint32_t>(produced);
      if (whole_tokens > stream.reported) {
        report(stream.job.reservation, whole_tokens - stream.reported);
        stream.reported = whole_tokens;
      }
    }
  }

  PrefixCache cache;
  bool up = true;
  bool leaving = false;
  std::uint64_t incarnation = 1;

 private:
  struct Stream {
    Job job;
    std::uint32_t reported = 0;
  };
  /// Tokens per second of each stream.
  [[nodiscard]] double DecodeSpeed() const;
  void UpdateVirtualTime(double now);
  void StartPrefill(double now);

  const Scenario* m_scenario;
  /// Jobs before prefill, by rank and arrival.
  std::map<std::pair<int, std::uint64_t>, Job> m_waiting;
  std::uint64_t m_next_arrival = 0;
  std::optional<Job> m_prefill;
  double m_prefill_end = 0;
  /// Virtual time of processor sharing: tokens that a stream would have decoded since the start of
  /// the run. A stream ends at a fixed virtual time.
  double m_virtual_time = 0;
  double m_updated_at = 0;
  /// By virtual end time and arrival.
  std::map<std::pair<double, std::uint64_t>, Stream> m_decoding;
  /// Work of all jobs whose prefill is not complete.
  double m_waiting_work = 0;
  /// Sum over streams of the output allowed by `max_output` beyond the actual output.
  double m_unused_max_output = 0;
  double m_virtual_end_sum = 0;
};

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_ENGINE_H_
