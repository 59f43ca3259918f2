#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_CONFIGURATION_VIEW_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_CONFIGURATION_VIEW_H_

#include <memory>

#include "records/configuration_view.h"

namespace wagtailwind::testing {

/// \brief A view of one configuration that does not change.
class FakeConfigurationView final : public records::ConfigurationView {
 public:
  explicit FakeConfigurationView(records::Configuration configuration = {})
      : m_current(std::make_shared<const records::Configuration>(std::move(configuration))) {}

  [[nodiscard]] std::shared_ptr<const records::Configuration> Current() const override {
    return m_current;
  }

  [[nodiscard]] std::optional<std::chrono::milliseconds> ConfirmationAge() const override {
    return std::chrono::milliseconds(0);
  }

 private:
  std::shared_ptr<const records::Configuration> m_current;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_CONFIGURATION_VIEW_H_
