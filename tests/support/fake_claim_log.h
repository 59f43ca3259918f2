#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_CLAIM_LOG_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_CLAIM_LOG_H_

#include <functional>
#include <utility>

#include "requests/claim_log.h"

namespace wagtailwind::testing {

/// \brief A claim log that returns `result`, at once or, if `hold` is set, when Answer() is called.
/// Not thread-safe.
class FakeClaimLog final : public requests::ClaimLog {
 public:
  void Claim(const OrganisationName& /*organisation*/, const requests::RequestKey& /*key*/,
             const RequestId& /*attempt*/,
             std::function<void(requests::ClaimResult)> done) override {
    ++claims;
    if (hold) {
      m_held = std::move(done);
    } else {
      done(result);
    }
  }

  void Abandon(const OrganisationName& /*organisation*/, const requests::RequestKey& /*key*/,
               const RequestId& /*attempt*/) override {
    ++abandoned;
  }

  /// \brief Completes the held claim.
  void Answer() { std::exchange(m_held, nullptr)(result); }

  requests::ClaimResult result = requests::ClaimResult::kClaimed;
  bool hold = false;
  int claims = 0;
  int abandoned = 0;

 private:
  std::function<void(requests::ClaimResult)> m_held;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_CLAIM_LOG_H_
