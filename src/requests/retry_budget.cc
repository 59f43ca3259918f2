#include "requests/retry_budget.h"

#include <algorithm>

namespace wagtailwind::requests {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings), m_tokens(settings.capacity) {}

void RetryBudget::OnRequest() {
  const absl::MutexLock lock(&m_mutex);
  m_tokens = std::min(m_settings.capacity, m_tokens + m_settings.tokens_per_request);
}

bool RetryBudget::TryTake() {
  const absl::MutexLock lock(&m_mutex);
  // Ten additions of 0.1 stay just below 1 in binary.
  constexpr double kRounding = 1e-6;
  if (m_tokens < 1.0 - kRounding) {
    return false;
  }
  m_tokens = std::max(0.0, m_tokens - 1.0);
  return true;
}

double RetryBudget::Tokens() const {
  const absl::MutexLock lock(&m_mutex);
  return m_tokens;
}

}  // namespace wagtailwind::requests
