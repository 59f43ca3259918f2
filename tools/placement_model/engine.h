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

/// \brief Prefixes of chats in an engine's limited memory, least recently used first out. A
/// prefix is kept or evicted as a whole.
class PrefixCache {
 public:
  explicit PrefixCache(double limit) : m_limit(limit) {}
  void Store(int chat, double tokens);
  void Clear();
  [[nodiscard]] double Find(int chat) const;

 private:
  struct Entry {
    int chat;
    double tokens;
  };
  double m_limit;
  double m_tokens = 0;
  std::list<Entry> m_by_use;
  std::unordered_map<int, std::list<Entry>::iterator> m_entries;
};

/// \brief Work of one request at an engine.
struct Job {
  int request = 0;
  int rank = 0;
  double prompt = 0;
  double output = 0;
  double max_output = 0;
  std::uint64_t reservation = 0;
};

/// \brief An engine: one prefill at a time by rank, then decoding together with the others at a
/// speed that falls with their number.
class Engine {
 public:
  explicit Engine(const Scenario& scenario) : cache(scenario.cache_tokens), m_scenario(&scenario) {}

  /// \brief What happened by `now`: a prefill or a decode that is complete.
  struct Step {
    std::optional<Job> first_token;
    std::optional<Job> complete;
  };

  void Add(const Job& job, double now);
  [[nodiscard]] std::optional<double> NextStep() const;
  Step Advance(double now);
  /// \brief Ends all work and returns it.
  std::vector<Job> Stop();

  /// \brief Waiting and running work in work tokens.
  [[nodiscard]] double Load(double now) const;
  /// \brief Calls `report(reservation, tokens)` with the output since the last call.
  template <typename Report>
  void ReportProgress(double now, const Report& report) {
    MoveTo(now);
    for (auto& [key, stream] : m_decoding) {
      const double produced = stream.job.output - (key.first - m_virtual);
      const auto whole = static_cast<std::uint32_t>(produced);
      if (whole > stream.reported) {
        report(stream.job.reservation, whole - stream.reported);
        stream.reported = whole;
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
  [[nodiscard]] double Speed() const;
  void MoveTo(double now);
  void StartPrefill(double now);

  const Scenario* m_scenario;
  /// By rank and arrival.
  std::map<std::pair<int, std::uint64_t>, Job> m_waiting;
  std::uint64_t m_arrivals = 0;
  std::optional<Job> m_prefill;
  double m_prefill_end = 0;
  /// Tokens that each stream has been given since the start; streams end at a value of it.
  double m_virtual = 0;
  double m_moved_at = 0;
  std::map<std::pair<double, std::uint64_t>, Stream> m_decoding;
  double m_waiting_work = 0;
  double m_unused_output = 0;
  double m_end_sum = 0;
};

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_ENGINE_H_
