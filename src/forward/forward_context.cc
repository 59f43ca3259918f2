#include "forward/forward_context.h"

#include <algorithm>
#include <utility>

#include "core/mutant.h"
#include "forward/log_events.h"

namespace wagtailwind::forward {

namespace {

// Fraction of the allowed retry ratio that a router uses: retries near the end of a measurement
// window count against the requests near its beginning.
constexpr double kRetryRatioShare = 0.75;

// Minimum capacity of a router's budget in tokens; with less, it could never retry.
constexpr double kMinRetryCapacity = 1;

// Fraction of the key revocation bound up to which a confirmation counts as recent. It covers one
// watch of the configuration and a slow response.
constexpr double kRecentConfirmationShare = 0.6;

// A key is refused this long before it could count as revoked, to allow for the time to reach the
// endpoint.
constexpr std::chrono::milliseconds kRevocationMargin{200};

// Time in which an endpoint that refused a connection may start again: as long as no requests go to
// an unreachable endpoint.
constexpr std::chrono::milliseconds kRestartTime{1'000};

// Time after the first read of the routers' records from which all routers are listed: after a
// start of all, or a loss of the records, each writes its own within four seconds, and a watch
// delivers it soon after. With a shorter list, the router would take too large a share of a cold
// endpoint.
constexpr std::chrono::seconds kDirectoryTime{6};

}  // namespace

bool ForwardContext::IsConfirmed() const noexcept {
  const auto recent = std::chrono::duration_cast<std::chrono::nanoseconds>(
      bounds.key_revocation * kRecentConfirmationShare);
  return confirmation.Age(clock.BootNow()) <=
         std::max<std::chrono::nanoseconds>(recent, bounds.configuration);
}

bool ForwardContext::AreKeysConfirmed() const noexcept {
  return confirmation.Age(clock.BootNow()) <= bounds.key_revocation - kRevocationMargin;
}

void ForwardContext::SetRequestLimit(balancing::Endpoint& endpoint, std::optional<double> limit) {
  const std::optional<double> before = endpoint.quota.limit();
  if (limit == before) {
    return;
  }
  if (!limit) {
    endpoint.quota.RemoveLimit();
    endpoint.load.OnLimitEnded(clock.Now());
  } else {
    endpoint.quota.SetLimit(*limit, ShareOf(endpoint, *limit), clock.Now());
  }
  if (limit.has_value() != before.has_value()) {
    Log(kEndpointLimitChanged, {{"endpoint", endpoint.record.name.value()},
                                {"limited", limit ? 1 : 0},
                                {"limit", limit.value_or(0)},
                                {"rate", endpoint.quota.share().rate},
                                {"routers", routers.size()}});
  }
}

void ForwardContext::SetEvacuatedZones(std::vector<AvailabilityZoneName> zones) {
  const std::vector<AvailabilityZoneName> before = endpoints.EvacuatedZones();
  if (zones == before) {
    return;
  }
  endpoints.SetEvacuatedZones(std::move(zones));
  const std::vector<AvailabilityZoneName>& now_evacuated = endpoints.EvacuatedZones();
  for (const AvailabilityZoneName& zone_name : now_evacuated) {
    if (!balancing::Contains(before, zone_name)) {
      Log(kZoneEvacuated, {{"zone", zone_name.value()}});
    }
  }
  for (const AvailabilityZoneName& zone_name : before) {
    if (!balancing::Contains(now_evacuated, zone_name)) {
      Log(kZoneRestored, {{"zone", zone_name.value()}});
    }
  }
  endpoints.ForEach([this, &before](balancing::Endpoint& endpoint) {
    const ServiceSpec* service = FindService(endpoint.record.service);
    if (service != nullptr && !endpoint.evacuated &&
        balancing::Contains(before, endpoint.record.zone)) {
      SetCold(endpoint, service->cold_time);
    }
  });
  metrics.GetGauge("forward_evacuated_zones").Set(static_cast<double>(now_evacuated.size()));
}

void ForwardContext::SetCold(balancing::Endpoint& endpoint, std::chrono::nanoseconds time) {
  if (time <= std::chrono::nanoseconds(0)) {
    return;
  }
  const SteadyTime now = clock.Now();
  const bool was_cold = endpoint.cold.IsCold(now);
  endpoint.cold.ExtendUntil(now + time);
  if (was_cold) {
    return;
  }
  const std::optional<balancing::LimitShare> share = ColdShareOf(endpoint);
  endpoint.cold.SetShare(share, now);
  if (share) {
    Log(kEndpointCold,
        {{"endpoint", endpoint.record.name.value()},
         {"cold_ms", std::chrono::duration_cast<std::chrono::milliseconds>(time).count()},
         {"rate", share->rate},
         {"routers", routers.size()}});
    metrics.GetCounter("forward_cold_endpoints_total").Add();
  }
}

void ForwardContext::OnUnreachable(balancing::Endpoint& endpoint) {
  const ServiceSpec* service = FindService(endpoint.record.service);
  if (service != nullptr && service->cold_time > std::chrono::milliseconds(0)) {
    SetCold(endpoint, kRestartTime + service->cold_time);
  }
}

void ForwardContext::UpdateColdShares() {
  const SteadyTime now = clock.Now();
  endpoints.ForEach([this, now](balancing::Endpoint& endpoint) {
    if (endpoint.cold.IsCold(now)) {
      endpoint.cold.SetShare(ColdShareOf(endpoint), now);
    }
  });
}

const ServiceSpec* ForwardContext::FindService(const ServiceName& service) const {
  if (!configuration) {
    return nullptr;
  }
  const auto found = configuration->services.find(service.value());
  return found == configuration->services.end() ? nullptr : &found->second;
}

std::optional<balancing::LimitShare> ForwardContext::ColdShareOf(
    const balancing::Endpoint& endpoint) const {
  const ServiceSpec* service = FindService(endpoint.record.service);
  if (service == nullptr || service->cold_rate <= 0 || bounds.cold_factor <= 0) {
    return std::nullopt;
  }
  if (!routers_read_at || clock.Now() - *routers_read_at < kDirectoryTime) {
    return balancing::LimitShare{};
  }
  return balancing::DivideColdLimit(
      {.name = endpoint.record.name.value(),
       .zone = endpoint.record.zone,
       .limit = {.rate = service->cold_rate,
                 .most_in_a_second = service->cold_rate * bounds.cold_factor + bounds.cold_slack}},
      {.name = self, .zone = zone}, routers);
}

std::optional<std::vector<AvailabilityZoneName>> ForwardContext::HomeZones(
    std::span<const RegionName> route_homes, std::span<const RegionName> organisation_homes) const {
  if (route_homes.empty() && organisation_homes.empty()) {
    return std::nullopt;
  }
  const auto is_home = [](std::span<const RegionName> homes, const RegionName& region) {
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
  };
  std::vector<AvailabilityZoneName> zones;
  for (const settings::ZoneRegion& entry : regions) {
    if (is_home(route_homes, entry.region) && is_home(organisation_homes, entry.region)) {
      zones.push_back(entry.zone);
    }
  }
  return zones;
}

std::size_t ForwardContext::OtherRouters() const noexcept {
  return std::max<std::size_t>(routers.size(), 1) - 1;
}

balancing::LimitShare ForwardContext::ShareOf(const balancing::Endpoint& endpoint,
                                              double limit) const {
  return balancing::DivideLimit(
      {.name = endpoint.record.name.value(), .zone = endpoint.record.zone, .limit = limit},
      {.name = self, .zone = zone}, routers);
}

void ForwardContext::SetRouters(std::vector<balancing::RouterInfo> all) {
  routers = std::move(all);
  endpoints.ForEach([this](balancing::Endpoint& endpoint) {
    if (const std::optional<double> limit = endpoint.quota.limit()) {
      endpoint.quota.SetLimit(*limit, ShareOf(endpoint, *limit), clock.Now());
    }
  });
  UpdateColdShares();
}

requests::RetryBudget& ForwardContext::RetryBudgetFor(const ServiceName& service) {
  requests::RetryBudgetSettings settings{
      .tokens_per_request = bounds.retry_ratio * kRetryRatioShare,
      .capacity =
          std::max(kMinRetryCapacity, bounds.retry_slack / traffic_share.EstimatedRouters())};
  if (IsMutantEnabled("forwarder_has_no_retry_budget")) {
    constexpr double kUnlimitedCapacity = 1e6;
    settings = {.tokens_per_request = 1, .capacity = kUnlimitedCapacity};
  }
  requests::RetryBudget& budget =
      retry_budgets.try_emplace(service.value(), settings).first->second;
  budget.SetCapacity(settings.capacity);
  return budget;
}

}  // namespace wagtailwind::forward
