#include "requests/retry_budget.h"

#include <algorithm>

namespace wagtailwind::requests {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_tokens_per_request(settings.tokens_per_request),
      m_capacity(settings.capacity),
      m_tokens(settings.capacity) {}

void RetryBudget::OnRequest() {
  const absl::MutexLock lock(&m_mutex);
  m_tokens = std::min(m_capacity, m_tokens + m_tokens_per_request);
}

bool RetryBudget::TryConsume() {
  const absl::MutexLock lock(&m_mutex);
  // The sum of ten additions of 0.1 is slightly below 1 in binary floating point.
  constexpr double kRoundingTolerance = 1e-6;
  if (m_tokens < 1.0 - kRoundingTolerance) {
    return false;
  }
  m_tokens = std::max(0.0, m_tokens - 1.0);
  return true;
}

void RetryBudget::SetCapacity(double capacity) {
  const absl::MutexLock lock(&m_mutex);
  m_capacity = capacity;
  m_tokens = std::min(m_tokens, m_capacity);
}

double RetryBudget::Tokens() const {
  const absl::MutexLock lock(&m_mutex);
  return m_tokens;
}

}  // namespace wagtailwind::requests
