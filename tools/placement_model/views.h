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

/// \brief Converts model time in seconds to the time type of the daemon's classes.
[[nodiscard]] inline SteadyTime ToSteadyTime(double seconds) {
  // Keeps times shortly before the start of the run positive.
  constexpr std::chrono::hours kOffset{1};
  return SteadyTime(kOffset + std::chrono::duration_cast<SteadyTime::duration>(
                                  std::chrono::duration<double>(seconds)));
}

/// \brief Clock that returns the model time.
class ModelClock final : public Clock {
 public:
  [[nodiscard]] SteadyTime Now() const noexcept override { return ToSteadyTime(seconds); }
  [[nodiscard]] WallTime WallNow() const noexcept override {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(Now().time_since_epoch()));
  }
  [[nodiscard]] BootTime BootNow() const noexcept override {
    return BootTime(Now().time_since_epoch());
  }

  double seconds = 0;
};

/// \brief The load reports that have reached all daemons; every daemon of the model sees the same.
class ModelLoads final : public gossip::LoadView {
 public:
  [[nodiscard]] std::vector<gossip::LoadEntry> PoolLoad(
      const ServiceName& /*pool*/) const override {
    return entries;
  }

  std::vector<gossip::LoadEntry> entries;
};

/// \brief A configuration that does not change during a run.
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
