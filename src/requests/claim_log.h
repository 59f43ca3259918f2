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

/// \brief Valid request key of a caller, a UUID of version 7.
struct RequestKey {
  /// The UUID in lower case.
  std::string text;
  /// Timestamp of the UUID.
  WallTime created;
};

/// \brief Parses a UUID version 7; empty if malformed.
[[nodiscard]] std::optional<RequestKey> ParseRequestKey(std::string_view text);

/// \brief Whether a key is accepted at this time: it is recent enough that its claim is still
/// stored, and not too far in the future.
[[nodiscard]] bool IsWithinAcceptanceWindow(const RequestKey& key, WallTime now) noexcept;

/// \brief Returns the claim partition of a key, in [0, kClaimPartitions).
[[nodiscard]] std::uint32_t ClaimPartition(const OrganisationName& organisation,
                                           std::string_view key) noexcept;

/// \brief Returns the hash of a service's partition, for the rendezvous order of its agents.
[[nodiscard]] std::uint64_t PartitionHash(const ServiceName& service,
                                          std::uint32_t partition) noexcept;

/// \brief Result of claiming a key.
enum class ClaimResult {
  /// Only this attempt may send the call, and only once.
  kClaimed,
  /// Another attempt has claimed the key and may have run.
  kTaken,
  /// The platform was unreachable or its answer was lost; the call must not be sent.
  kUnavailable,
};

/// \brief Log of the claimed request keys of one service. It is stored in the key-value service
/// with one head per partition, to which batches of claims are committed by compare-and-swap.
class ClaimLog {
 public:
  virtual ~ClaimLog() = default;

  /// \brief Claims a key for an attempt and calls `done` once with the result: on a worker thread,
  /// on the calling thread if the queue is full, or in the destructor if the claim is still queued.
  virtual void Claim(const OrganisationName& organisation, const RequestKey& key,
                     const RequestId& attempt, std::function<void(ClaimResult)> done) = 0;

  /// \brief Releases the claim of an attempt that was not sent and never will be, so that the key
  /// may be claimed again.
  virtual void Abandon(const OrganisationName& organisation, const RequestKey& key,
                       const RequestId& attempt) = 0;
};

/// \brief Makes the claim log of one service. The parameters passed by reference must outlive it.
[[nodiscard]] std::unique_ptr<ClaimLog> MakeClaimLog(const ServiceName& service,
                                                     platform::KeyValueService& key_values,
                                                     WorkerPool& workers, const Clock& clock,
                                                     MetricsRegistry& metrics);

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_CLAIM_LOG_H_
