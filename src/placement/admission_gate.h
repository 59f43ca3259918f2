#ifndef WAGTAILWIND_PLACEMENT_ADMISSION_GATE_H_
#define WAGTAILWIND_PLACEMENT_ADMISSION_GATE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "gossip/member_view.h"
#include "records/configuration_view.h"
#include "requests/outcome.h"

namespace wagtailwind::placement {

/// \brief Settings of the admission gate. The bound is the load up to which an endpoint admits
/// requests; the capacity is the load that it can hold.
struct AdmissionSettings {
  /// Bound as a multiple of the mean load of the pool.
  double load_multiple = 1.25;
  /// Load entries older than this are excluded from the mean.
  std::chrono::milliseconds max_load_age{10'000};
  /// Cost of one output token relative to one uncached prompt token.
  std::uint32_t output_token_weight = 4;
  /// Fraction of the bound above which organisation shares are enforced.
  double share_threshold = 0.7;
  /// Fraction of the bound that is reserved for the priority class with the highest rank number.
  double lowest_class_reserve = 0.05;
};

/// \brief Properties of a request that the gate decides by.
struct AdmissionRequest {
  OrganisationName organisation;
  PriorityClassName priority_class;
  ChatId chat;
  std::uint32_t prompt_tokens = 0;
  /// Prompt tokens that are expected in this engine's prefix cache.
  std::uint32_t cached_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// Set after all candidates have refused; admits up to the capacity instead of the bound.
  bool last_resort = false;
};

/// \brief Result of Admit(). The reservation of an admitted request lasts until Release().
struct AdmissionDecision {
  bool admitted = false;
  requests::FailureReason reason = requests::FailureReason::kNone;
  std::chrono::milliseconds retry_after{0};
  /// Least loaded peers of the pool, best first.
  std::vector<EndpointName> redirects;
  std::uint64_t reservation = 0;
};

/// \brief Unfinished work that the gate has admitted to its endpoint.
struct GateLoad {
  std::uint64_t work_tokens = 0;
  std::uint32_t capacity = 0;
  std::uint32_t requests = 0;
  /// Close() was called.
  bool closed = false;
};

/// \brief Admission control of an agent's endpoint. All work of the endpoint passes through it, so
/// a refused request has certainly not run. Thread-safe.
class AdmissionGate {
 public:
  virtual ~AdmissionGate() = default;

  /// \brief Admits the request and reserves its work, or refuses it.
  [[nodiscard]] virtual AdmissionDecision Admit(const AdmissionRequest& request) = 0;

  /// \brief Subtracts the prompt and newly produced output tokens from a reservation.
  virtual void RecordOutput(std::uint64_t reservation, std::uint32_t output_tokens) = 0;

  /// \brief Removes a reservation. Unknown reservations are ignored.
  virtual void Release(std::uint64_t reservation) = 0;

  /// \brief Current load of the endpoint.
  [[nodiscard]] virtual GateLoad Load() const = 0;

  /// \brief Refuses all further requests; called when the agent leaves the fleet.
  virtual void Close() = 0;

  /// \brief Sets the endpoint's health; an unhealthy endpoint refuses all requests.
  virtual void SetHealthy(bool healthy) = 0;
};

/// \brief Makes the gate of one endpoint. The views and the clock must outlive it.
[[nodiscard]] std::unique_ptr<AdmissionGate> MakeAdmissionGate(
    const gossip::EndpointAdvertisement& endpoint, const AvailabilityZoneName& zone,
    const AdmissionSettings& settings, const gossip::LoadView& loads,
    const records::ConfigurationView& configuration, const Clock& clock);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_ADMISSION_GATE_H_
