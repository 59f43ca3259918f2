#include "agent/result_table.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace wagtailwind::agent {

namespace {

std::string TableKey(const OrganisationName& organisation, const std::string& key) {
  // Names in records contain no line breaks, so the separator is unambiguous.
  return organisation.value() + "\n" + key;
}

}  // namespace

ResultTable::Lookup ResultTable::FindOrInsert(const OrganisationName& organisation,
                                              const std::string& key, std::uint64_t call_hash,
                                              bool may_run_again,
                                              const std::shared_ptr<StoredAnswer>& answer) {
  const absl::MutexLock lock(&m_mutex);
  const auto [found, is_new] = m_results.try_emplace(TableKey(organisation, key));
  Result& result = found->second;
  if (!is_new) {
    const std::optional<AnswerEnd> end = result.answer->End();
    const bool not_run = end && end->outcome == requests::Outcome::kNotRun;
    const bool failed = end && !end->complete;
    if (!not_run && result.call_hash != call_hash) {
      return {State::kConflict, nullptr};
    }
    if (!failed) {
      return {State::kReplay, result.answer};
    }
    if (!not_run && !may_run_again) {
      return {State::kConflict, nullptr};
    }
  }
  result = {call_hash, answer};
  return {State::kInserted, answer};
}

void ResultTable::RemoveExpired() {
  const SteadyTime now = m_clock.Now();
  const absl::MutexLock lock(&m_mutex);
  std::size_t total = 0;
  std::vector<std::pair<SteadyTime, std::string>> ended;
  for (const auto& [key, result] : m_results) {
    total += result.answer->Size();
    if (const std::optional<SteadyTime> ended_at = result.answer->EndedAt()) {
      ended.emplace_back(*ended_at, key);
    }
  }
  std::sort(ended.begin(), ended.end());
  for (const auto& [ended_at, key] : ended) {
    const bool over_limit =
        total > m_limits.max_total_bytes || m_results.size() > m_limits.max_results;
    if (now - ended_at < m_limits.retention && !over_limit) {
      break;
    }
    const auto found = m_results.find(key);
    total -= found->second.answer->Size();
    m_results.erase(found);
  }
}

std::size_t ResultTable::Count() const {
  const absl::MutexLock lock(&m_mutex);
  return m_results.size();
}

}  // namespace wagtailwind::agent
