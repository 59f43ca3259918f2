#include "placement_model/engine.h"

#include <algorithm>

namespace wagtailwind::placement_model {

namespace {

constexpr double kOutputWeight = 4;

double WaitingWork(const Job& job) { return job.prompt + kOutputWeight * job.max_output; }

}  // namespace

void PrefixCache::Store(int chat, double tokens) {
  const auto found = m_entries.find(chat);
  if (found != m_entries.end()) {
    m_tokens -= found->second->tokens;
    m_by_use.erase(found->second);
    m_entries.erase(found);
  }
  m_by_use.push_back({chat, tokens});
  m_entries[chat] = std::prev(m_by_use.end());
  m_tokens += tokens;
  while (m_tokens > m_limit) {
    m_tokens -= m_by_use.front().tokens;
    m_entries.erase(m_by_use.front().chat);
    m_by_use.pop_front();
  }
}

void PrefixCache::Clear() {
  m_by_use.clear();
  m_entries.clear();
  m_tokens = 0;
}

double PrefixCache::Find(int chat) const {
  const auto found = m_entries.find(chat);
  return found == m_entries.end() ? 0 : found->second->tokens;
}

void Engine::Add(const Job& job, double now) {
  MoveTo(now);
  m_waiting.emplace(std::make_pair(job.rank, m_arrivals++), job);
  m_waiting_work += WaitingWork(job);
  if (!m_prefill) {
    StartPrefill(now);
  }
}

std::optional<double> Engine::NextStep() const {
  std::optional<double> next;
  if (m_prefill) {
    next = m_prefill_end;
  }
  if (!m_decoding.empty()) {
    const double end = m_moved_at + (m_decoding.begin()->first.first - m_virtual) / Speed();
    next = std::min(next.value_or(end), end);
  }
  return next;
}

Engine::Step Engine::Advance(double now) {
  constexpr double kRounding = 1e-6;
  MoveTo(now);
  Step step;
  if (m_prefill && m_prefill_end <= now) {
    const Job job = *m_prefill;
    m_waiting_work -= WaitingWork(job);
    const double end = m_virtual + job.output;
    m_decoding.emplace(std::make_pair(end, m_arrivals++), Stream{job});
    m_unused_output += job.max_output - job.output;
    m_end_sum += end;
    StartPrefill(now);
    step.first_token = job;
  } else if (!m_decoding.empty() && m_decoding.begin()->first.first <= m_virtual + kRounding) {
    const Job job = m_decoding.begin()->second.job;
    m_unused_output -= job.max_output - job.output;
    m_end_sum -= m_decoding.begin()->first.first;
    m_decoding.erase(m_decoding.begin());
    step.complete = job;
  }
  return step;
}

std::vector<Job> Engine::Stop() {
  std::vector<Job> lost;
  for (const auto& [key, job] : m_waiting) {
    lost.push_back(job);
  }
  if (m_prefill) {
    lost.push_back(*m_prefill);
  }
  for (const auto& [key, stream] : m_decoding) {
    lost.push_back(stream.job);
  }
  m_waiting.clear();
  m_prefill.reset();
  m_decoding.clear();
  m_waiting_work = m_unused_output = m_end_sum = 0;
  cache.Clear();
  return lost;
}

double Engine::Load(double now) const {
  const auto streams = static_cast<double>(m_decoding.size());
  const double at = m_virtual + (now - m_moved_at) * Speed();
  return std::max(0.0,
                  m_waiting_work + kOutputWeight * (m_unused_output + m_end_sum - streams * at));
}

double Engine::Speed() const {
  return m_scenario->decode_speed /
         (1 + static_cast<double>(m_decoding.size()) / m_scenario->half_speed_streams);
}

void Engine::MoveTo(double now) {
  m_virtual += (now - m_moved_at) * Speed();
  m_moved_at = now;
}

void Engine::StartPrefill(double now) {
  m_prefill.reset();
  if (m_waiting.empty()) {
    return;
  }
  m_prefill = m_waiting.begin()->second;
  m_waiting.erase(m_waiting.begin());
  m_prefill_end = now + m_prefill->prompt / m_scenario->prefill_speed;
}

}  // namespace wagtailwind::placement_model
