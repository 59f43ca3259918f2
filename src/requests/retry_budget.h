#ifndef WAGTAILWIND_REQUESTS_RETRY_BUDGET_H_
#define WAGTAILWIND_REQUESTS_RETRY_BUDGET_H_

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace wagtailwind::requests {

/// \brief Rate and size of a retry budget's token bucket.
struct RetryBudgetSettings {
  /// Tokens added by each request.
  double tokens_per_request = 0.1;
  /// Maximum number of tokens, and the number at the start.
  double capacity = 20;
};

/// \brief Token bucket that limits the retries of a router to a fraction of its requests.
/// Thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  /// \brief Adds the tokens of one request.
  void OnRequest();

  /// \brief Consumes a token for a retry; false if there is none.
  [[nodiscard]] bool TryConsume();

  /// \brief Current number of tokens.
  [[nodiscard]] double Tokens() const;

  /// \brief Changes the maximum number of tokens; excess tokens are discarded.
  void SetCapacity(double capacity);

 private:
  const double m_tokens_per_request;
  mutable absl::Mutex m_mutex;
  double m_capacity ABSL_GUARDED_BY(m_mutex);
  double m_tokens ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::requests

#endif  // WAGTAILWIND_REQUESTS_RETRY_BUDGET_H_
