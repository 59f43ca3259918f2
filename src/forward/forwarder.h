#ifndef WAGTAILWIND_FORWARD_FORWARDER_H_
#define WAGTAILWIND_FORWARD_FORWARDER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "forward/caller_session.h"
#include "forward/configuration_follower.h"
#include "forward/crash_reports.h"
#include "forward/deployment_adapter.h"
#include "forward/endpoint_follower.h"
#include "forward/evacuation_follower.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"
#include "forward/record_dispatcher.h"
#include "forward/record_writer.h"
#include "forward/request_limits.h"
#include "forward/router_directory.h"
#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "settings/forwarder_settings.h"

namespace wagtailwind::forward {

/// \brief A router that forwards callers' requests to endpoints: its listeners, its view of the
/// key-value service, and its graceful shutdown.
class Forwarder {
 public:
  /// \brief Opens the listeners and starts to follow the key-value service. Throws
  /// net::SocketFailed. All references must outlive the object; `on_stopped` is called when the
  /// shutdown is complete.
  Forwarder(net::EventLoop& loop, const Clock& clock, RandomSource& random,
            MetricsRegistry& metrics, const settings::ForwarderSettings& settings,
            const DeploymentAdapter& adapter, std::function<void()> on_stopped);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /// \brief Starts a graceful shutdown: requests finish unless they exceed the grace time.
  void BeginStop();

  /// \brief Applies the bounds of changed settings.
  void SetBounds(const settings::ForwarderBounds& bounds) noexcept { m_context.bounds = bounds; }

  /// \brief Returns whether the platform should send callers to this router.
  [[nodiscard]] bool IsReady() const;

  [[nodiscard]] std::string CallerAddress() const { return m_caller_listener->Address(); }
  [[nodiscard]] std::string AdminAddress() const { return m_admin_listener->Address(); }

 private:
  class CallerHost;
  class AdminHost;

  void Tick();
  void UpdateGauges();
  /// At the first call, closes the listener and idle sessions; at the end of the grace time, forces
  /// the stop.
  void OnStopTimer();
  void ForceStop();
  void CheckStopped();
  [[nodiscard]] std::string StateText() const;

  ForwardContext m_context;
  const DeploymentAdapter& m_adapter;
  const settings::ForwarderSettings m_settings;
  std::function<void()> m_on_stopped;
  ConfigurationFollower m_configuration_follower;
  EndpointFollower m_endpoint_follower;
  EvacuationFollower m_evacuation_follower;
  RecordWriter m_writer;
  CrashReports m_crash_reports;
  RequestLimits m_limits;
  RouterDirectory m_routers;
  RecordDispatcher m_dispatcher;
  std::unique_ptr<CallerHost> m_callers;
  std::unique_ptr<AdminHost> m_admin;
  std::unique_ptr<net::TcpListener> m_caller_listener;
  std::unique_ptr<net::TcpListener> m_admin_listener;
  std::unique_ptr<net::TcpListener> m_metrics_listener;
  std::unique_ptr<PrefixFeed> m_feed;
  net::Timer m_tick;
  net::Timer m_stop_timer;
  bool m_was_ready = false;
  bool m_stopped = false;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_FORWARDER_H_
