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
// About 1.6 s at the engine's pace, so that the streams still run when the signals arrive.
constexpr std::uint32_t kTokens = 800;
constexpr std::uint64_t kFirstCaller = 1'000;
// Only a guard against a run that hangs.
constexpr int kMaxPolls = 2'000;
constexpr std::chrono::milliseconds kPoll{5};

std::vector<FleetProcess*> Stopped(Fleet& fleet) {
  std::vector<FleetProcess*> stopped{&fleet.routers.front()};
  for (FleetProcess& agent : fleet.agents) {
    stopped.push_back(&agent);
  }
  return stopped;
}

/// Calls in flight, each of them from its own thread.
class Traffic {
 public:
  explicit Traffic(CallerContext& context) {
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
  ~Traffic() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  /// Waits until each call has reached its endpoint.
  void WaitStarted(const std::filesystem::path& executions) const {
    for (int poll = 0; poll < kMaxPolls; ++poll) {
      if (m_started >= kStreams && ReadExecutions(executions).size() >= kStreams + kServiceCalls) {
        return;
      }
      std::this_thread::sleep_for(kPoll);
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
    const Traffic traffic(context);
    traffic.WaitStarted(executions);
    for (const FleetProcess* process : Stopped(fleet)) {
      process->process.Signal(SIGTERM);
    }
    for (FleetProcess* process : Stopped(fleet)) {
      stops.push_back({process->name, process->process.Wait()});
    }
  }
  for (const FleetProcess& service : fleet.services) {
    Fleet::Control(service, R"({"delay_next":0})");
  }
  for (FleetProcess* process : Stopped(fleet)) {
    fleet.Restart(*process);
  }
  on_restart();
  for (const FleetProcess* process : Stopped(fleet)) {
    Fleet::WaitReady(*process);
  }
  return stops;
}

}  // namespace wagtailwind::histories
