#include "records/configuration_view.h"

#include <algorithm>

namespace wagtailwind::records {

namespace {

template <typename Item>
const Item* FindByName(const std::vector<Item>& items, std::string_view name) noexcept {
  const auto found =
      std::ranges::find_if(items, [name](const Item& item) { return item.name.value() == name; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const Organisation* Configuration::FindOrganisation(std::string_view name) const noexcept {
  return FindByName(organisations, name);
}

const PriorityClass* Configuration::FindPriorityClass(std::string_view name) const noexcept {
  return FindByName(priority_classes, name);
}

const Model* Configuration::FindModel(std::string_view name) const noexcept {
  return FindByName(models, name);
}

const Service* Configuration::FindService(std::string_view name) const noexcept {
  return FindByName(services, name);
}

bool Configuration::IsDraining(const EndpointName& endpoint, const AvailabilityZoneName& zone,
                               WallTime now) const noexcept {
  return std::ranges::any_of(drain_plans, [&](const DrainPlan& plan) {
    const bool covered = (!plan.zone.empty() && plan.zone == zone) ||
                         std::ranges::find(plan.endpoints, endpoint) != plan.endpoints.end();
    return covered && plan.start <= now;
  });
}

}  // namespace wagtailwind::records
