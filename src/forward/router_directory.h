#ifndef WAGTAILWIND_FORWARD_ROUTER_DIRECTORY_H_
#define WAGTAILWIND_FORWARD_ROUTER_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "forward/deployment_adapter.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"
#include "forward/record_writer.h"

namespace wagtailwind::forward {

/// \brief The list of all routers. Each router writes a record for itself in the key-value service
/// and follows those of the others.
class RouterDirectory final : public FeedListener {
 public:
  /// \brief Keeps the list in `context`. All references must outlive the object.
  RouterDirectory(ForwardContext& context, const DeploymentAdapter& adapter, RecordWriter& writer);
  ~RouterDirectory() override;

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;

  /// \brief Writes this router's record when it is due, and removes routers that are gone. Called
  /// periodically.
  void Tick();

  /// \brief Returns the prefix of the routers' records.
  [[nodiscard]] static std::string Prefix(const DeploymentAdapter& adapter);

 private:
  /// Schedules the writing of this router's record at a random time shortly before `latest`.
  void ScheduleWrite(std::chrono::milliseconds latest);
  void OnRecord(const platform::KeyValueItem& item);
  void Remove(const std::string& name);
  /// Passes the list on if it has changed.
  void Update();

  ForwardContext& m_context;
  const std::string m_prefix;
  RecordWriter& m_writer;
  struct Router {
    AvailabilityZoneName zone;
    /// Time since which the router's record is missing; empty while it is there.
    std::optional<SteadyTime> missing_since{};
  };
  /// By name.
  std::map<std::string, Router> m_routers;
  /// Time at which this router's record is written next.
  SteadyTime m_write_at{};
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_ROUTER_DIRECTORY_H_
