#include "agent/flow_core.h"

#include <limits>
#include <string>
#include <utility>

#include "absl/time/time.h"

namespace wagtailwind::agent {

namespace {

constexpr std::size_t kMaxRememberedPrefixes = 16'384;

std::string AnswerCounterName(const AnswerEnd& end) {
  return "agent_answers_total{outcome=\"" + std::string(requests::ToText(end.outcome)) +
         "\",reason=\"" + std::string(requests::ToText(end.reason)) + "\"}";
}

}  // namespace

FlowCore::FlowCore(FlowDependencies flow_parts, FlowSettings flow_settings)
    : parts(flow_parts),
      settings(std::move(flow_settings)),
      answers(settings.answers, parts.clock),
      results(settings.results, parts.clock),
      attempts(settings.max_remembered_attempts),
      prefixes(placement::MakePrefixDirectory(kMaxRememberedPrefixes,
                                              std::numeric_limits<std::uint64_t>::max())),
      service_health(parts.gate, parts.clock) {}

std::uint64_t FlowCore::Add(std::shared_ptr<Execution> execution, std::uint64_t reservation) {
  const absl::MutexLock lock(&m_mutex);
  m_running[m_next_number] = {std::move(execution), reservation};
  return m_next_number++;
}

void FlowCore::Finish(std::uint64_t number, StoredAnswer& answer, AnswerEnd end) {
  Entry entry;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_running.find(number);
    if (found == m_running.end()) {
      return;
    }
    entry = found->second;
  }
  parts.gate.Release(entry.reservation);
  parts.metrics.GetCounter(AnswerCounterName(end)).Add();
  answer.SetEnd(end);
  // Must come last: the flow may be destroyed as soon as no execution is running.
  const absl::MutexLock lock(&m_mutex);
  m_running.erase(number);
}

std::vector<std::shared_ptr<Execution>> FlowCore::Running() const {
  const absl::MutexLock lock(&m_mutex);
  std::vector<std::shared_ptr<Execution>> running;
  running.reserve(m_running.size());
  for (const auto& [number, entry] : m_running) {
    running.push_back(entry.execution);
  }
  return running;
}

std::size_t FlowCore::RunningCount() const {
  const absl::MutexLock lock(&m_mutex);
  return m_running.size();
}

bool FlowCore::WaitIdle(std::chrono::milliseconds timeout) const {
  const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_running.empty(); };
  m_mutex.LockWhenWithTimeout(absl::Condition(&idle), absl::FromChrono(timeout));
  const bool is_idle = m_running.empty();
  m_mutex.Unlock();
  return is_idle;
}

}  // namespace wagtailwind::agent
