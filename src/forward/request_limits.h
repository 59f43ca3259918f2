#ifndef WAGTAILWIND_FORWARD_REQUEST_LIMITS_H_
#define WAGTAILWIND_FORWARD_REQUEST_LIMITS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "forward/deployment_adapter.h"
#include "forward/forward_context.h"
#include "forward/prefix_feed.h"
#include "forward/record_writer.h"
#include "net/event_loop.h"

namespace wagtailwind::forward {

/// \brief Shares what endpoints say of their request limits among the routers, by way of the
/// key-value service.
///
/// Most routers of a large fleet get few answers of an endpoint, or none while it has a limit, and
/// would learn late that a limit begins or ends.
class RequestLimits final : public FeedListener {
 public:
  /// \brief All references must outlive the object.
  RequestLimits(ForwardContext& context, const DeploymentAdapter& adapter, RecordWriter& writer);
  ~RequestLimits() override;

  /// \brief An answer of the endpoint named this limit, or none.
  void OnAnswer(const balancing::EndpointPtr& endpoint, std::optional<double> limit);

  void OnSnapshot(const std::vector<platform::KeyValueItem>& items, BootTime valid_as_of) override;
  void OnChanges(const std::vector<platform::KeyValueItem>& changes, BootTime valid_as_of) override;

  /// \brief At the begin of a turn, permits a request to the endpoints that this router may check.
  /// Called periodically.
  void Tick();

  /// \brief Returns the prefix of the records.
  [[nodiscard]] static std::string Prefix(const DeploymentAdapter& adapter);

 private:
  /// What is known of the limit of one process of an endpoint.
  struct Entry {
    balancing::EndpointPtr endpoint;
    /// Limit in the last record.
    std::optional<double> shared;
    /// Limit in the last answer to this router, and its time.
    std::optional<double> seen;
    SteadyTime seen_at{};
    /// Fires when this router shares what it has seen, unless another one was faster.
    std::unique_ptr<net::Timer> timer;
  };

  [[nodiscard]] static std::string KeyOf(const balancing::Endpoint& endpoint);
  void OnTimer(const std::string& key);
  void OnRecord(const platform::KeyValueItem& item);
  void RemoveGone();

  ForwardContext& m_context;
  const std::string m_prefix;
  RecordWriter& m_writer;
  /// By the rest of the record's key.
  std::map<std::string, Entry> m_entries;
  std::uint64_t m_turn = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_REQUEST_LIMITS_H_
