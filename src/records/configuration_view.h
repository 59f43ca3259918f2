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

/// \brief Version of the configuration. Each accepted change increments it by one.
using ConfigurationVersion = std::uint64_t;

/// \brief An organisation that may send requests.
struct Organisation {
  OrganisationName name;
  /// Share of the work relative to other organisations.
  double weight = 1.0;
  PriorityClassName default_class;
  /// Models that the organisation may use; empty: all.
  std::vector<ModelName> allowed_models;
  /// Adapters that the organisation may use; empty: all.
  std::vector<std::string> allowed_adapters{};
};

/// \brief A priority class. A lower rank is served first.
struct PriorityClass {
  PriorityClassName name;
  std::uint32_t rank = 0;
  /// Fraction of the admission limit that requests of this class may use, in (0, 1].
  double share = 1.0;
  std::chrono::milliseconds default_deadline{30'000};
};

/// \brief An engine that serves a model according to the model's record.
struct ModelReplica {
  EndpointName endpoint;
  AvailabilityZoneName zone;
};

/// \brief A model and its versions.
struct Model {
  ModelName name;
  /// Pool of engines that serve the model.
  ServiceName pool;
  std::vector<std::string> versions;
  /// Known engines of the pool; empty: unknown.
  std::vector<ModelReplica> replicas{};
};

/// \brief An adapter of a model, and its versions.
struct Adapter {
  std::string name;
  ModelName model;
  std::vector<std::string> versions;
};

/// \brief Method and path prefix of the calls to a plain service that may be retried.
struct RepeatableCall {
  std::string method;
  std::string path_prefix;
};

/// \brief A plain service. A call that matches no entry of `repeatable` is executed at most once.
struct Service {
  ServiceName name;
  std::vector<RepeatableCall> repeatable;
};

/// \brief A planned drain: its endpoints get no new work from `start` on.
struct DrainPlan {
  std::string name;
  std::vector<EndpointName> endpoints;
  /// Availability zone whose endpoints are all drained, in addition to `endpoints`; empty: none.
  AvailabilityZoneName zone;
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

  /// \brief Whether a drain plan that has started covers the endpoint.
  [[nodiscard]] bool IsDraining(const EndpointName& endpoint, const AvailabilityZoneName& zone,
                                WallTime now) const noexcept;
};

/// \brief Read access to the current configuration of this process.
class ConfigurationView {
 public:
  virtual ~ConfigurationView() = default;

  /// \brief Returns the current configuration; never null. Its version is 0 before the first one is
  /// known.
  [[nodiscard]] virtual std::shared_ptr<const Configuration> Current() const = 0;

  /// \brief Time since the platform was last known to hold this version as the newest; empty:
  /// never.
  [[nodiscard]] virtual std::optional<std::chrono::milliseconds> ConfirmationAge() const = 0;
};

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_CONFIGURATION_VIEW_H_
