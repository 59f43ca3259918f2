#ifndef WAGTAILWIND_TESTS_STAND_INS_ENGINE_STAND_IN_H_
#define WAGTAILWIND_TESTS_STAND_INS_ENGINE_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "http/server.h"
#include "stand_ins/engine_options.h"
#include "stand_ins/generation.h"
#include "stand_ins/history_file.h"
#include "stand_ins/prefix_cache.h"

namespace wagtailwind::stand_ins {

/// \brief Simulates a model engine that generates deterministic text.
class EngineStandIn {
 public:
  explicit EngineStandIn(EngineOptions options);
  ~EngineStandIn();
  EngineStandIn(const EngineStandIn&) = delete;
  EngineStandIn& operator=(const EngineStandIn&) = delete;

  [[nodiscard]] http::HandlerResult Handle(const http::Request& request);

 private:
  friend class GenerationBody;
  using GenerationPtr = std::shared_ptr<Generation>;

  /// Faults set by POST /control.
  struct Faults {
    int fail_next = 0;
    int fail_status = 500;
    int drop_next = 0;
    int cut_next = 0;
    std::size_t cut_after_bytes = 0;
    int delay_next = 0;
    std::chrono::milliseconds delay{0};
    int duplicate_next = 0;
    bool stall = false;
  };
  struct Order {
    std::int64_t at_ms = 0;
    std::string version;
    std::uint64_t fencing_token = 0;
    bool taken = false;
  };
  struct LoadSample {
    std::chrono::steady_clock::time_point time;
    std::size_t running = 0;
    std::size_t waiting = 0;
  };

  http::HandlerResult Generate(const http::Request& request);
  http::HandlerResult Resume(const http::Request& request);
  http::HandlerResult CancelStream(const http::Request& request);
  http::HandlerResult Control(const http::Request& request);
  http::HandlerResult Load(const http::Request& request);
  http::HandlerResult Status();
  http::HandlerResult Models();
  http::HandlerResult CacheEvents(const http::Request& request);
  http::HandlerResult History();
  http::HandlerResult StreamAnswer(const GenerationPtr& generation, std::size_t offset);

  GenerationPtr Enqueue(const http::Request& request);
  /// Body of a worker thread: runs waiting generations one after another.
  void RunWorker();
  void RunGeneration(const GenerationPtr& generation);
  [[nodiscard]] GenerationPtr DequeueByRank() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Prefill(Generation& generation);
  void SampleLoad() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  /// Cancels the running generations, clears cache and loaded models, and starts a new incarnation.
  void Restart() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  [[nodiscard]] static std::string StreamIdOf(std::string_view path);

  const EngineOptions m_options;
  const HistoryFile m_history_file;
  absl::Mutex m_mutex;
  std::string m_incarnation ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_next_number ABSL_GUARDED_BY(m_mutex) = 1;
  std::vector<GenerationPtr> m_waiting ABSL_GUARDED_BY(m_mutex);
  std::size_t m_running ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, GenerationPtr> m_streams ABSL_GUARDED_BY(m_mutex);
  std::vector<GenerationPtr> m_history ABSL_GUARDED_BY(m_mutex);
  PrefixCache m_cache ABSL_GUARDED_BY(m_mutex);
  Faults m_faults ABSL_GUARDED_BY(m_mutex);
  std::deque<LoadSample> m_load ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_highest_fencing_token ABSL_GUARDED_BY(m_mutex) = 0;
  std::map<std::string, std::string> m_loaded ABSL_GUARDED_BY(m_mutex);
  std::vector<Order> m_orders ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_workers;
};

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_ENGINE_STAND_IN_H_
