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

/// \brief Size and retention limits of an answer store.
struct AnswerLimits {
  std::size_t max_answer_bytes = std::size_t{1} << 20U;
  std::size_t max_total_bytes = std::size_t{64} << 20U;
  /// An answer is kept for this long after its end.
  std::chrono::milliseconds retention{120'000};
};

/// \brief Stores the answers of one agent process. Safe to use from several threads.
class AnswerStore {
 public:
  AnswerStore(AnswerLimits limits, const Clock& clock);

  /// \brief Creates an empty answer.
  [[nodiscard]] std::shared_ptr<StoredAnswer> Create(const std::string& id,
                                                     const OrganisationName& organisation);

  /// \brief Appends bytes to an answer; returns false if that would exceed a limit. To make room,
  /// evicts ended answers, the earliest ended first.
  [[nodiscard]] bool Append(StoredAnswer& answer, std::string_view bytes);

  /// \brief Returns the answer with this id; null if unknown or of another organisation.
  [[nodiscard]] std::shared_ptr<StoredAnswer> Find(std::string_view id,
                                                   const OrganisationName& organisation) const;

  /// \brief Removes answers whose retention has expired.
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
