#ifndef WAGTAILWIND_REQUESTS_CLAIM_LOG_H_
#define WAGTAILWIND_REQUESTS_CLAIM_LOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/worker_pool.h"
#include "platform/key_value_service.h"

namespace wagtailwind::requests {

/// \brief Number of claim partitions of one service.
inline constexpr std::uint32_t kClaimPartitions = 16;

/// \brief A caller's key for one call, checked: UUID version 7.
struct RequestKey {
  std::string text;
  /// Time inside the UUID.
  WallTime created;
};

/// \brief Parses a UUID version 7; empty if malformed.
[[nodiscard]] std::optional<RequestKey> ParseRequestKey(std::string_view text);

/// \brief Whether a key's time is inside the window in which claims are remembered.
[[nodiscard]] bool IsWithinRetention(const RequestKey& key, WallTime now) noexcept;

/// \brief The claim partition of a key.
[[nodiscard]] std::uint32_t ClaimPartition(const OrganisationName& organisation,
                                           std::string_view key) noexcept;

/// \brief Hash of a service and partition, for the rendezvous order of its agents.
[[nodiscard]] std::uint64_t PartitionHash(const ServiceName& service,
                                          std::uint32_t partition) noexcept;

/// \brief Result of claiming a key.
enum class ClaimResult {
  /// The caller of Claim(), and nobody else, may send the call, once.
  kClaimed,
  /// Another attempt claimed the key; it may have run.
  kTaken,
  /// The platform could not be reached or its answer was lost; the call must not be sent.
  kUnavailable,
};

/// \brief Durable claims of request keys for one service, committed in batches to the key-value
/// service by compare-and-swap, one log head per partition.
class ClaimLog {
 public:
  virtual ~ClaimLog() = default;

  /// \brief Claims a key for an attempt; `done` is called once, from a worker.
  virtual void Claim(const OrganisationName& organisation, const RequestKey& key,
                     const RequestId& attempt, std::function<void(ClaimResult)> done) = 0;

  /// \brief Notes that a claimed call was not sent and never will be, so that the same key may
  /// be claimed again.
  virtual void Abandon(const OrganisationName& organisation, const RequestKey& key,
                       const RequestId& attempt) = 0;
};

/// \brief The claim log of one service. The parameters outlive it.
[[nodiscard]] std::unique_ptr<ClaimLog> MakeClaimLog(const ServiceName& service,
                                                     platform::KeyValueService& key_values,
                                                     WorkerPool& workers, const Clock& clock,
                                                     MetricsRegistry& metrics);

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_CLAIM_LOG_H_
