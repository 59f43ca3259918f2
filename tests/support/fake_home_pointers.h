#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_HOME_POINTERS_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_HOME_POINTERS_H_

#include <map>
#include <string>
#include <utility>

#include "placement/home_pointers.h"

namespace wagtailwind::testing {

/// \brief Home pointers without a size limit. Not thread-safe.
class FakeHomePointers final : public placement::HomePointers {
 public:
  void Set(const OrganisationName& organisation, const ChatId& chat,
           const EndpointName& endpoint) override {
    m_pointers[{organisation.value(), chat.value()}] = endpoint;
  }

  void Clear(const OrganisationName& organisation, const ChatId& chat) override {
    m_pointers.erase({organisation.value(), chat.value()});
  }

  [[nodiscard]] std::optional<EndpointName> Find(const OrganisationName& organisation,
                                                 const ChatId& chat) const override {
    const auto found = m_pointers.find({organisation.value(), chat.value()});
    return found == m_pointers.end() ? std::nullopt : std::optional(found->second);
  }

  [[nodiscard]] std::size_t Size() const override { return m_pointers.size(); }

 private:
  std::map<std::pair<std::string, std::string>, EndpointName> m_pointers;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_HOME_POINTERS_H_
