#ifndef WAGTAILWIND_FORWARD_CRASH_REPORTS_H_
#define WAGTAILWIND_FORWARD_CRASH_REPORTS_H_

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "forward/crash_report.h"
#include "forward/deployment_adapter.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"
#include "forward/record_writer.h"
#include "net/event_loop.h"

namespace wagtailwind::forward {

/// \brief Reports the crashes that this router has seen to the other routers, by way of the
/// key-value service, and adds the reports of all routers to the quarantine.
class CrashReports final : public FeedListener {
 public:
  /// \brief All references must outlive the object.
  CrashReports(ForwardContext& context, const DeploymentAdapter& adapter, RecordWriter& writer);
  ~CrashReports() override;

  /// \brief An endpoint has crashed while these prompts of this router waited for their first
  /// events.
  void OnCrash(const balancing::EndpointPtr& endpoint,
               std::vector<balancing::SuspectPrompt> prompts);

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;

  /// \brief Ends quarantines whose time has passed, and logs those that have ended. Called
  /// periodically.
  void Tick();

 private:
  /// A report that is written once its time has come.
  struct Pending {
    balancing::CrashReport report;
    std::unique_ptr<net::Timer> timer;
  };

  /// Logs which quarantines have begun and ended since the last call.
  void LogChanges();
  void Schedule(const balancing::CrashReport& report);
  void Publish(std::list<Pending>::iterator pending);
  [[nodiscard]] bool TakePermit();

  ForwardContext& m_context;
  const std::string m_prefix;
  RecordWriter& m_writer;
  std::list<Pending> m_pending;
  /// The quarantines that have been logged.
  std::vector<balancing::QuarantinedParts> m_logged;
  /// Number of reports that may be written now, as of m_permits_at.
  double m_permits;
  SteadyTime m_permits_at{};
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_CRASH_REPORTS_H_
