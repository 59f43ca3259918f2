#include "agent/attempt_table.h"

#include <utility>

namespace wagtailwind::agent {

Admission AttemptTable::Decision::ToAdmission() const {
  Admission admission;
  admission.refusal = refusal;
  if (admitted) {
    admission.answer = answer.lock();
    admission.execution = execution.lock();
    if (!admission.answer) {
      // The attempt ran, but its answer is no longer stored.
      admission.refusal.reason = requests::FailureReason::kAnswerNotFound;
      admission.refusal.outcome = requests::Outcome::kUnknown;
    }
  }
  return admission;
}

bool AttemptTable::Register(const AttemptId& id, const AdmissionCallback& callback) {
  std::optional<Decision> decided;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto [found, is_new] = m_entries.try_emplace(id);
    decided = found->second.decision;
    if (!decided) {
      found->second.callbacks.push_back(callback);
    }
    if (is_new) {
      m_order.push_back(id);
      EvictOldest();
      return true;
    }
  }
  if (decided) {
    callback(decided->ToAdmission());
  }
  return false;
}

void AttemptTable::EvictOldest() {
  if (m_order.size() <= m_capacity) {
    return;
  }
  const AttemptId oldest = m_order.front();
  m_order.pop_front();
  const auto found = m_entries.find(oldest);
  if (found->second.decision) {
    m_entries.erase(found);
  } else {
    // Routers still wait for this decision, so the entry is kept.
    m_order.push_back(oldest);
  }
}

void AttemptTable::Decide(const AttemptId& id, const Admission& admission) {
  std::vector<AdmissionCallback> callbacks;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.decision) {
      return;
    }
    found->second.decision = Decision{admission.answer != nullptr, admission.answer,
                                      admission.execution, admission.refusal};
    callbacks.swap(found->second.callbacks);
  }
  for (const AdmissionCallback& callback : callbacks) {
    callback(admission);
  }
}

std::size_t AttemptTable::Size() const {
  const absl::MutexLock lock(&m_mutex);
  return m_entries.size();
}

}  // namespace wagtailwind::agent
