#ifndef WAGTAILWIND_AGENT_ANSWER_STORE_H_
#define WAGTAILWIND_AGENT_ANSWER_STORE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "agent/stored_answer.h"

namespace wagtailwind::agent {

/// \brief Bounds of an answer store.
struct AnswerLimits {
  std::size_t max_answer_bytes = std::size_t{1} << 20U;
  std::size_t max_total_bytes = std::size_t{64} << 20U;
  /// An answer is kept for this long after its end.
  std::chrono::milliseconds retention{120'000};
};

/// \brief The answers of one agent process. Safe to use from several threads.
class AnswerStore {
 public:
  AnswerStore(AnswerLimits limits, const Clock& clock);

  /// \brief A new, empty answer.
  [[nodiscard]] std::shared_ptr<StoredAnswer> Create(const std::string& id,
                                                     const OrganisationName& organisation);

  /// \brief Adds bytes to an answer; false if that would break a limit. Answers that have ended
  /// are evicted for it, the earliest end first.
  [[nodiscard]] bool Append(StoredAnswer& answer, std::string_view bytes);

  /// \brief The answer with this id; null if unknown or of another organisation.
  [[nodiscard]] std::shared_ptr<StoredAnswer> Find(std::string_view id,
                                                   const OrganisationName& organisation) const;

  /// \brief Removes answers whose retention has passed.
  void RemoveExpired();

  [[nodiscard]] std::size_t Count() const;
  [[nodiscard]] std::size_t TotalBytes() const noexcept { return *m_total; }

 private:
  [[nodiscard]] bool EvictOldestEnded();

  const AnswerLimits m_limits;
  const Clock& m_clock;
  const std::shared_ptr<AnswerByteCount> m_total = std::make_shared<AnswerByteCount>(0);
  mutable absl::Mutex m_mutex;
  std::map<std::string, std::shared_ptr<StoredAnswer>, std::less<>> m_answers
      ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_ANSWER_STORE_H_
