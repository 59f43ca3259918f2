#include "agent/answer_store.h"

#include <optional>
#include <vector>

#include "core/mutant.h"

namespace wagtailwind::agent {

AnswerStore::AnswerStore(AnswerLimits limits, const Clock& clock)
    : m_limits(limits), m_clock(clock) {}

std::shared_ptr<StoredAnswer> AnswerStore::Create(const std::string& id,
                                                  const OrganisationName& organisation) {
  auto answer = std::make_shared<StoredAnswer>(id, organisation, m_clock, m_total);
  const absl::MutexLock lock(&m_mutex);
  m_answers[id] = answer;
  return answer;
}

bool AnswerStore::Append(StoredAnswer& answer, std::string_view bytes) {
  if (answer.Size() + bytes.size() > m_limits.max_answer_bytes) {
    return false;
  }
  while (*m_total + bytes.size() > m_limits.max_total_bytes) {
    if (!EvictOldestEnded()) {
      return false;
    }
  }
  answer.Append(bytes);
  return true;
}

std::shared_ptr<StoredAnswer> AnswerStore::Find(std::string_view id,
                                                const OrganisationName& organisation) const {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_answers.find(id);
  if (found == m_answers.end()) {
    return nullptr;
  }
  const bool is_own = found->second->Organisation() == organisation;
  if (!is_own && !IsMutantEnabled("answers_ignore_organisation")) {
    return nullptr;
  }
  return found->second;
}

void AnswerStore::RemoveExpired() {
  const SteadyTime now = m_clock.Now();
  // Declared before the lock, so that the answers are destroyed after the lock is released.
  std::vector<std::shared_ptr<StoredAnswer>> removed;
  const absl::MutexLock lock(&m_mutex);
  for (auto it = m_answers.begin(); it != m_answers.end();) {
    const std::optional<SteadyTime> ended_at = it->second->EndedAt();
    if (ended_at && now - *ended_at >= m_limits.retention) {
      removed.push_back(std::move(it->second));
      it = m_answers.erase(it);
    } else {
      ++it;
    }
  }
}

bool AnswerStore::EvictOldestEnded() {
  // Declared before the lock, so that the answer is destroyed after the lock is released.
  std::shared_ptr<StoredAnswer> evicted;
  const absl::MutexLock lock(&m_mutex);
  auto oldest = m_answers.end();
  std::optional<SteadyTime> oldest_end;
  for (auto it = m_answers.begin(); it != m_answers.end(); ++it) {
    const std::optional<SteadyTime> ended_at = it->second->EndedAt();
    if (ended_at && (!oldest_end || *ended_at < *oldest_end)) {
      oldest = it;
      oldest_end = ended_at;
    }
  }
  if (oldest == m_answers.end()) {
    return false;
  }
  evicted = std::move(oldest->second);
  m_answers.erase(oldest);
  return true;
}

std::size_t AnswerStore::Count() const {
  const absl::MutexLock lock(&m_mutex);
  return m_answers.size();
}

}  // namespace wagtailwind::agent
