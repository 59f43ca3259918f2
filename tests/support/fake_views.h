#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_VIEWS_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_VIEWS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gossip/member_view.h"
#include "records/configuration_view.h"

namespace wagtailwind::testing {

/// \brief A load view that returns the entries set by a test, whichever pool is requested.
class FakeLoadView final : public gossip::LoadView {
 public:
  [[nodiscard]] std::vector<gossip::LoadEntry> PoolLoad(
      const ServiceName& /*pool*/) const override {
    return m_entries;
  }

  /// \brief Sets the load of `count` peers named `peer-0`, `peer-1`, ...
  void SetPeers(std::size_t count, std::uint64_t work_tokens, std::uint32_t capacity,
                SteadyTime measured_at) {
    m_entries.clear();
    for (std::size_t i = 0; i < count; ++i) {
      Add("peer-" + std::to_string(i), work_tokens, capacity, measured_at);
    }
  }

  void Add(const std::string& endpoint, std::uint64_t work_tokens, std::uint32_t capacity,
           SteadyTime measured_at) {
    m_entries.push_back({EndpointName(endpoint), work_tokens, capacity, measured_at});
  }

  void Clear() { m_entries.clear(); }

 private:
  std::vector<gossip::LoadEntry> m_entries;
};

/// \brief A configuration view that returns the configuration set by a test.
class FakeConfigurationView final : public records::ConfigurationView {
 public:
  [[nodiscard]] std::shared_ptr<const records::Configuration> Current() const override {
    return m_configuration;
  }

  [[nodiscard]] std::optional<std::chrono::milliseconds> ConfirmationAge() const override {
    return std::chrono::milliseconds{0};
  }

  void Set(records::Configuration configuration) {
    m_configuration = std::make_shared<const records::Configuration>(std::move(configuration));
  }

 private:
  std::shared_ptr<const records::Configuration> m_configuration =
      std::make_shared<records::Configuration>();
};

/// \brief A member view that returns the members set by a test.
class FakeMemberView final : public gossip::MemberView {
 public:
  [[nodiscard]] gossip::MemberSnapshot Members() const override { return m_members; }

  void Set(std::vector<gossip::Member> members) {
    m_members = std::make_shared<const std::vector<gossip::Member>>(std::move(members));
  }

 private:
  gossip::MemberSnapshot m_members = std::make_shared<std::vector<gossip::Member>>();
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_VIEWS_H_
