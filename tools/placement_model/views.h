#ifndef WAGTAILWIND_TOOLS_PLACEMENT_MODEL_VIEWS_H_
#define WAGTAILWIND_TOOLS_PLACEMENT_MODEL_VIEWS_H_

#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "gossip/member_view.h"
#include "records/configuration_view.h"

namespace wagtailwind::placement_model {

/// \brief A point in model time, in seconds, as the decision objects know time.
[[nodiscard]] inline SteadyTime ToSteady(double seconds) {
  constexpr std::chrono::hours kStart{1};
  return SteadyTime(kStart + std::chrono::duration_cast<SteadyTime::duration>(
                                 std::chrono::duration<double>(seconds)));
}

/// \brief Model time.
class ModelClock final : public Clock {
 public:
  [[nodiscard]] SteadyTime Now() const noexcept override { return ToSteady(seconds); }
  [[nodiscard]] WallTime WallNow() const noexcept override {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(Now().time_since_epoch()));
  }
  [[nodiscard]] BootTime BootNow() const noexcept override {
    return BootTime(Now().time_since_epoch());
  }

  double seconds = 0;
};

/// \brief Load reports as they have arrived everywhere.
class ModelLoads final : public gossip::LoadView {
 public:
  [[nodiscard]] std::vector<gossip::LoadEntry> PoolLoad(
      const ServiceName& /*pool*/) const override {
    return entries;
  }

  std::vector<gossip::LoadEntry> entries;
};

/// \brief Records that do not change during a run.
class ModelRecords final : public records::ConfigurationView {
 public:
  explicit ModelRecords(records::Configuration configuration)
      : m_configuration(std::make_shared<const records::Configuration>(std::move(configuration))) {}

  [[nodiscard]] std::shared_ptr<const records::Configuration> Current() const override {
    return m_configuration;
  }
  [[nodiscard]] std::optional<std::chrono::milliseconds> ConfirmationAge() const override {
    return std::chrono::milliseconds{0};
  }

 private:
  std::shared_ptr<const records::Configuration> m_configuration;
};

}  // namespace wagtailwind::placement_model

#endif  // WAGTAILWIND_TOOLS_PLACEMENT_MODEL_VIEWS_H_
