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

/// \brief Settings of the admission bound.
struct AdmissionSettings {
  /// No engine carries more than this multiple of the mean load.
  double load_multiple = 1.25;
  /// Load entries older than this are not part of the mean.
  std::chrono::milliseconds max_load_age{10'000};
  /// Cost of one output token in units of one uncached prompt token.
  std::uint32_t output_token_weight = 4;
  /// Above this part of the bound, organisation shares are enforced.
  double share_threshold = 0.7;
  /// Part of the bound that is kept for the class with the highest rank number.
  double lowest_class_reserve = 0.05;
};

/// \brief What the gate needs to know of a request.
struct AdmissionRequest {
  OrganisationName organisation;
  PriorityClassName priority_class;
  ChatId chat;
  std::uint32_t prompt_tokens = 0;
  /// Prompt tokens that are expected to be in the prefix cache of this engine.
  std::uint32_t cached_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// Every candidate was at its bound: admit up to the capacity.
  bool last_resort = false;
};

/// \brief The gate's answer. If admitted, the reservation counts until Release().
struct AdmissionDecision {
  bool admitted = false;
  requests::FailureReason reason = requests::FailureReason::kNone;
  std::chrono::milliseconds retry_after{0};
  /// Least loaded peers of the pool, best first.
  std::vector<EndpointName> redirects;
  std::uint64_t reservation = 0;
};

/// \brief Load that this agent's endpoint has been given.
struct GateLoad {
  std::uint64_t work_tokens = 0;
  std::uint32_t capacity = 0;
  std::uint32_t requests = 0;
  /// Close() was called.
  bool closed = false;
};

/// \brief Decides at the agent whether its endpoint takes a request. It sees all work of its
/// endpoint, so that a refusal is a certain "not run". Safe to use from several threads.
class AdmissionGate {
 public:
  virtual ~AdmissionGate() = default;

  /// \brief Admits and reserves, or refuses.
  [[nodiscard]] virtual AdmissionDecision Admit(const AdmissionRequest& request) = 0;

  /// \brief Takes produced output tokens off a reservation.
  virtual void Progress(std::uint64_t reservation, std::uint32_t output_tokens) = 0;

  /// \brief Ends a reservation.
  virtual void Release(std::uint64_t reservation) = 0;

  /// \brief Present load.
  [[nodiscard]] virtual GateLoad Load() const = 0;

  /// \brief Closes the gate for good (leaving), or sets the endpoint's health.
  virtual void Close() = 0;
  virtual void SetHealthy(bool healthy) = 0;
};

/// \brief The gate of one endpoint. The views outlive it.
[[nodiscard]] std::unique_ptr<AdmissionGate> MakeAdmissionGate(
    const gossip::EndpointAdvertisement& endpoint, const AvailabilityZoneName& zone,
    const AdmissionSettings& settings, const gossip::LoadView& loads,
    const records::ConfigurationView& configuration, const Clock& clock);

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_ADMISSION_GATE_H_
