#include "histories/planned_stop.h"

#include <atomic>
#include <csignal>
#include <thread>

#include "histories/execution_files.h"

namespace wagtailwind::histories {

namespace {

using wagtailwind::testing::Fleet;
using wagtailwind::testing::FleetProcess;

constexpr std::uint64_t kStreams = 6;
constexpr std::uint64_t kServiceCalls = 2;
// Take about 1.6 s at the engine's token rate, so that the streams still run when the signals
// arrive.
constexpr std::uint32_t kTokens = 800;
constexpr std::uint64_t kFirstCaller = 1'000;
// Keeps a run from hanging.
constexpr int kMaxPolls = 2'000;
constexpr std::chrono::milliseconds kPollPeriod{5};

std::vector<FleetProcess*> ProcessesToStop(Fleet& fleet) {
  std::vector<FleetProcess*> stopped{&fleet.routers.front()};
  for (FleetProcess& agent : fleet.agents) {
    stopped.push_back(&agent);
  }
  return stopped;
}

/// Calls in flight, each on its own thread.
class CallsInFlight {
 public:
  explicit CallsInFlight(CallerContext& context) {
    for (std::uint64_t i = 0; i < kStreams + kServiceCalls; ++i) {
      m_threads.emplace_back([this, &context, i] {
        Caller caller(context, kFirstCaller + i, 0);
        caller.PinRouter(i % 2);
        if (i < kStreams) {
          bool first = true;
          caller.Stream(
              kTokens,
              [this, first]() mutable {
                m_started += first ? 1U : 0U;
                first = false;
              },
              true);
        } else {
          caller.OnceOnly(true);
        }
      });
    }
  }
  ~CallsInFlight() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  CallsInFlight(const CallsInFlight&) = delete;
  CallsInFlight& operator=(const CallsInFlight&) = delete;

  /// Waits until each call has reached its endpoint.
  void WaitStarted(const std::filesystem::path& executions) const {
    for (int poll = 0; poll < kMaxPolls; ++poll) {
      if (m_started >= kStreams && ReadExecutions(executions).size() >= kStreams + kServiceCalls) {
        return;
      }
      std::this_thread::sleep_for(kPollPeriod);
    }
  }

 private:
  std::atomic<std::uint64_t> m_started{0};
  std::vector<std::thread> m_threads;
};

}  // namespace

std::vector<PlannedStop> StopUnderTraffic(Fleet& fleet, CallerContext& context,
                                          const std::filesystem::path& executions,
                                          const std::function<void()>& on_restart) {
  for (const FleetProcess& service : fleet.services) {
    Fleet::Control(service, R"({"delay_next":2,"delay_before_ms":0,"delay_after_ms":1500})");
  }
  std::vector<PlannedStop> stops;
  {
    const CallsInFlight calls(context);
    calls.WaitStarted(executions);
    for (const FleetProcess* process : ProcessesToStop(fleet)) {
      process->process.Signal(SIGTERM);
    }
    for (FleetProcess* process : ProcessesToStop(fleet)) {
      stops.push_back({process->name, process->process.Wait()});
    }
  }
  for (const FleetProcess& service : fleet.services) {
    Fleet::Control(service, R"({"delay_next":0})");
  }
  for (FleetProcess* process : ProcessesToStop(fleet)) {
    fleet.Restart(*process);
  }
  on_restart();
  for (const FleetProcess* process : ProcessesToStop(fleet)) {
    Fleet::WaitReady(*process);
  }
  return stops;
}

}  // namespace wagtailwind::histories
