#ifndef WAGTAILWIND_RECORDS_CONFIGURATION_VIEW_H_
#define WAGTAILWIND_RECORDS_CONFIGURATION_VIEW_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::records {

/// \brief Rises by one with each accepted change.
using ConfigurationVersion = std::uint64_t;

/// \brief An organisation that may send requests.
struct Organisation {
  OrganisationName name;
  /// Share of the work relative to other organisations.
  double weight = 1.0;
  PriorityClassName default_class;
  /// Empty: all models.
  std::vector<ModelName> allowed_models;
  /// Empty: all adapters.
  std::vector<std::string> allowed_adapters{};
};

/// \brief A priority class. A lower rank goes first.
struct PriorityClass {
  PriorityClassName name;
  std::uint32_t rank = 0;
  /// Part of the admission bound that requests of this class may fill, in (0, 1].
  double share = 1.0;
  std::chrono::milliseconds default_deadline{30'000};
};

/// \brief An engine that an operator expects to serve a model.
struct ModelReplica {
  EndpointName endpoint;
  AvailabilityZoneName zone;
};

/// \brief A model in its versions.
struct Model {
  ModelName name;
  /// Pool of engines that serve it.
  ServiceName pool;
  std::vector<std::string> versions;
  /// Known engines of the pool; empty: not known.
  std::vector<ModelReplica> replicas{};
};

/// \brief An adapter of a model.
struct Adapter {
  std::string name;
  ModelName model;
  std::vector<std::string> versions;
};

/// \brief A method and path prefix of a plain service that may be repeated.
struct RepeatableCall {
  std::string method;
  std::string path_prefix;
};

/// \brief A plain service. A call that matches no entry of `repeatable` may run at most once.
struct Service {
  ServiceName name;
  std::vector<RepeatableCall> repeatable;
};

/// \brief Endpoints that stop taking new work.
struct DrainPlan {
  std::string name;
  std::vector<EndpointName> endpoints;
  /// Empty: `endpoints` only.
  AvailabilityZoneName zone;
  /// From this time on no new work is taken.
  WallTime start;
};

/// \brief The records of one configuration version, parsed. Immutable.
struct Configuration {
  ConfigurationVersion version = 0;
  std::vector<Organisation> organisations;
  std::vector<PriorityClass> priority_classes;
  std::vector<Model> models;
  std::vector<Adapter> adapters;
  std::vector<Service> services;
  std::vector<DrainPlan> drain_plans;

  [[nodiscard]] const Organisation* FindOrganisation(std::string_view name) const noexcept;
  [[nodiscard]] const PriorityClass* FindPriorityClass(std::string_view name) const noexcept;
  [[nodiscard]] const Model* FindModel(std::string_view name) const noexcept;
  [[nodiscard]] const Service* FindService(std::string_view name) const noexcept;

  /// \brief Whether a drain plan has stopped new work at an endpoint.
  [[nodiscard]] bool IsDraining(const EndpointName& endpoint, const AvailabilityZoneName& zone,
                                WallTime now) const noexcept;
};

/// \brief Read access to the configuration that is in force in this process.
class ConfigurationView {
 public:
  virtual ~ConfigurationView() = default;

  /// \brief The configuration in force; never null, version 0 before the first one is known.
  [[nodiscard]] virtual std::shared_ptr<const Configuration> Current() const = 0;

  /// \brief Time since the platform is known to have confirmed this version; empty: never.
  [[nodiscard]] virtual std::optional<std::chrono::milliseconds> ConfirmationAge() const = 0;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CONFIGURATION_VIEW_H_
