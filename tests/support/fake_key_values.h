#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_KEY_VALUES_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_KEY_VALUES_H_

#include <map>
#include <string>

#include "platform/key_value_service.h"

namespace wagtailwind::testing {

/// \brief Keys in memory, without leases and watches. For one thread.
class FakeKeyValues final : public platform::KeyValueService {
 public:
  std::optional<platform::VersionedValue> Get(std::string_view key) override {
    Check();
    const auto found = m_values.find(key);
    return found == m_values.end() ? std::nullopt : std::optional(found->second);
  }

  platform::SwapResult CompareAndSwap(std::string_view key, platform::Revision expected,
                                      std::string_view value,
                                      platform::LeaseId /*lease*/) override {
    Check();
    platform::VersionedValue& present = m_values[std::string(key)];
    if (present.revision != expected) {
      return {false, present.revision};
    }
    present = {std::string(value), ++m_last_revision};
    return {true, present.revision};
  }

  std::optional<platform::VersionedValue> Watch(std::string_view /*key*/,
                                                platform::Revision /*after*/,
                                                std::chrono::milliseconds /*timeout*/) override {
    return std::nullopt;
  }

  platform::LeaseId GrantLease(std::chrono::milliseconds /*time_to_live*/) override { return 1; }
  void KeepAlive(platform::LeaseId /*lease*/) override {}
  void Revoke(platform::LeaseId /*lease*/) override {}

  bool available = true;

 private:
  void Check() const {
    if (!available) {
      throw platform::KeyValueUnavailable("set unavailable by the test");
    }
  }

  std::map<std::string, platform::VersionedValue, std::less<>> m_values;
  platform::Revision m_last_revision = 0;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_KEY_VALUES_H_
