#ifndef WAGTAILWIND_REQUESTS_RETRY_BUDGET_H_
#define WAGTAILWIND_REQUESTS_RETRY_BUDGET_H_

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace wagtailwind::requests {

/// \brief Size of a retry budget.
struct RetryBudgetSettings {
  /// Tokens that each request adds.
  double tokens_per_request = 0.1;
  /// Tokens that the bucket holds at most, and holds at the start.
  double capacity = 20;
};

/// \brief Token bucket that bounds the retries of a router to a part of its requests. Safe to use
/// from several threads.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  /// \brief Adds the tokens of one request.
  void OnRequest();

  /// \brief Takes a token for a retry; false if there is none.
  [[nodiscard]] bool TryTake();

  [[nodiscard]] double Tokens() const;

  /// \brief Changes the tokens that the bucket holds at most; tokens above are lost.
  void SetCapacity(double capacity);

 private:
  const double m_tokens_per_request;
  mutable absl::Mutex m_mutex;
  double m_capacity ABSL_GUARDED_BY(m_mutex);
  double m_tokens ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_RETRY_BUDGET_H_
