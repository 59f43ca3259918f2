#include "placement_model/engine.h"

#include <algorithm>

namespace wagtailwind::placement_model {

namespace {

// Cost of an output token relative to an uncached prompt token.
constexpr double kOutputWeight = 4;

double WorkTokens(const Job& job) { return job.prompt + kOutputWeight * job.max_output; }

}  // namespace

void PrefixCache::Store(int chat, double tokens) {
  const auto found = m_entries.find(chat);
  if (found != m_entries.end()) {
    m_tokens -= found->second->tokens;
    m_by_age.erase(found->second);
    m_entries.erase(found);
  }
  m_by_age.push_back({chat, tokens});
  m_entries[chat] = std::prev(m_by_age.end());
  m_tokens += tokens;
  while (m_tokens > m_max_tokens) {
    m_tokens -= m_by_age.front().tokens;
    m_entries.erase(m_by_age.front().chat);
    m_by_age.pop_front();
  }
}

void PrefixCache::Clear() {
  m_by_age.clear();
  m_entries.clear();
  m_tokens = 0;
}

double PrefixCache::Find(int chat) const {
  const auto found = m_entries.find(chat);
  return found == m_entries.end() ? 0 : found->second->tokens;
}

void Engine::Add(const Job& job, double now) {
  UpdateVirtualTime(now);
  m_waiting.emplace(std::make_pair(job.rank, m_next_arrival++), job);
  m_waiting_work += WorkTokens(job);
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
    const double end =
        m_updated_at + (m_decoding.begin()->first.first - m_virtual_time) / DecodeSpeed();
    next = std::min(next.value_or(end), end);
  }
  return next;
}

Engine::Step Engine::Advance(double now) {
  constexpr double kRounding = 1e-6;
  UpdateVirtualTime(now);
  Step step;
  if (m_prefill && m_prefill_end <= now) {
    const Job job = *m_prefill;
    m_waiting_work -= WorkTokens(job);
    const double end = m_virtual_time + job.output;
    m_decoding.emplace(std::make_pair(end, m_next_arrival++), Stream{job});
    m_unused_max_output += job.max_output - job.output;
    m_virtual_end_sum += end;
    StartPrefill(now);
    step.first_token = job;
  } else if (!m_decoding.empty() && m_decoding.begin()->first.first <= m_virtual_time + kRounding) {
    const Job job = m_decoding.begin()->second.job;
    m_unused_max_output -= job.max_output - job.output;
    m_virtual_end_sum -= m_decoding.begin()->first.first;
    m_decoding.erase(m_decoding.begin());
    step.complete = job;
  }
  return step;
}

std::vector<Job> Engine::Stop() {
  std::vector<Job> cancelled;
  for (const auto& [key, job] : m_waiting) {
    cancelled.push_back(job);
  }
  if (m_prefill) {
    cancelled.push_back(*m_prefill);
  }
  for (const auto& [key, stream] : m_decoding) {
    cancelled.push_back(stream.job);
  }
  m_waiting.clear();
  m_prefill.reset();
  m_decoding.clear();
  m_waiting_work = m_unused_max_output = m_virtual_end_sum = 0;
  cache.Clear();
  return cancelled;
}

double Engine::Load(double now) const {
  const auto streams = static_cast<double>(m_decoding.size());
  const double virtual_now = m_virtual_time + (now - m_updated_at) * DecodeSpeed();
  return std::max(0.0, m_waiting_work + kOutputWeight * (m_unused_max_output + m_virtual_end_sum -
                                                         streams * virtual_now));
}

double Engine::DecodeSpeed() const {
  return m_scenario->decode_speed /
         (1 + static_cast<double>(m_decoding.size()) / m_scenario->half_speed_streams);
}

void Engine::UpdateVirtualTime(double now) {
  m_virtual_time += (now - m_updated_at) * DecodeSpeed();
  m_updated_at = now;
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
