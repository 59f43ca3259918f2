#include <algorithm>
#include <cmath>

#include "core/hash.h"
#include "placement_model/simulation.h"

namespace wagtailwind::placement_model {

namespace {

// Kinds of draws; a draw depends on the seed, its subject and its kind alone, so that every policy
// meets the same chats.
enum Salt : std::uint64_t {
  kOrganisation = 1,
  kRank,
  kTurns,
  kFirstPrompt,
  kTurnPrompt,
  kOutput,
  kMaxOutput,
  kGap,
  kLongGap,
  kZone,
  kBest,
  kArrival,
};

constexpr std::uint64_t kTurnStride = 1'000;

double Exponential(double mean, double uniform) { return -mean * std::log1p(-uniform); }

}  // namespace

double Simulation::Draw(std::uint64_t subject, std::uint64_t salt) const {
  // SplitMix64's mixing steps.
  std::uint64_t x =
      m_seed * 0x9E3779B97F4A7C15U + subject * 0xBF58476D1CE4E5B9U + salt * 0x94D049BB133111EBU;
  x = (x ^ (x >> 30U)) * 0xBF58476D1CE4E5B9U;
  x = (x ^ (x >> 27U)) * 0x94D049BB133111EBU;
  x ^= x >> 31U;
  return static_cast<double>(x >> 11U) * 0x1.0p-53;
}

bool Simulation::InSurge() const {
  return m_clock.seconds >= m_scenario.surge_at &&
         m_clock.seconds < m_scenario.surge_at + m_scenario.surge_time;
}

bool Simulation::Measured() const { return m_clock.seconds >= m_scenario.warm_up; }

void Simulation::ScheduleNewChat() {
  const double extra = InSurge() ? m_organisation_parts.front() * (m_scenario.surge_factor - 1) : 0;
  const double mean = 1 / (m_scenario.chats_per_second * (1 + extra));
  Push(m_clock.seconds + Exponential(mean, Draw(m_chats.size(), kArrival)), EventType::kNewChat);
}

void Simulation::StartChat() {
  const auto number = static_cast<int>(m_chats.size());
  const std::uint64_t subject = m_chats.size();
  Chat chat;
  const double extra = InSurge() ? m_organisation_parts.front() * (m_scenario.surge_factor - 1) : 0;
  double pick = Draw(subject, kOrganisation) * (1 + extra) - extra;
  while (pick >= m_organisation_parts[static_cast<std::size_t>(chat.organisation)] &&
         chat.organisation + 1 < m_scenario.organisations) {
    pick -= m_organisation_parts[static_cast<std::size_t>(chat.organisation++)];
  }
  pick = Draw(subject, kRank);
  while (chat.rank + 1 < static_cast<int>(Classes().size()) &&
         pick >= Classes()[static_cast<std::size_t>(chat.rank)].part) {
    pick -= Classes()[static_cast<std::size_t>(chat.rank++)].part;
  }
  chat.turns = 1 + static_cast<int>(Exponential(m_scenario.mean_turns - 1, Draw(subject, kTurns)));
  m_chats.push_back(chat);
  StartTurn(number);
}

void Simulation::StartTurn(int chat_number) {
  Chat& chat = m_chats[static_cast<std::size_t>(chat_number)];
  const std::uint64_t subject =
      static_cast<std::uint64_t>(chat_number) * kTurnStride + static_cast<std::uint64_t>(chat.turn);
  Request request;
  request.chat = chat_number;
  request.arrival = m_clock.seconds;
  request.prefix = chat.context;
  request.new_tokens =
      chat.turn == 0 ? m_scenario.first_prompt_min *
                           std::pow(m_scenario.first_prompt_max / m_scenario.first_prompt_min,
                                    Draw(subject, kFirstPrompt))
                     : 20 + Exponential(m_scenario.turn_prompt_mean, Draw(subject, kTurnPrompt));
  request.output = 1 + Exponential(m_scenario.output_mean, Draw(subject, kOutput));
  // Callers ask for more output than they get.
  request.max_output = std::floor(request.output * (1 + Draw(subject, kMaxOutput))) + 1;
  request.zone = static_cast<int>(Draw(subject, kZone) * m_scenario.zones);
  NoteBest(chat, chat_number, request);
  int number = 0;
  if (m_free_requests.empty()) {
    number = static_cast<int>(m_requests.size());
    m_requests.push_back(std::move(request));
  } else {
    number = m_free_requests.back();
    m_free_requests.pop_back();
    m_requests[static_cast<std::size_t>(number)] = std::move(request);
  }
  if (Measured()) {
    ++m_result.requests;
    ++m_result.class_requests[static_cast<std::size_t>(chat.rank)];
    m_result.surge_others += InSurge() && chat.organisation != 0 ? 1 : 0;
  }
  Place(number);
}

// The best that a placement could reach: the chat stays at one engine until that engine is lost,
// whatever the load, and all caches are one.
void Simulation::NoteBest(Chat& chat, int chat_number, const Request& request) {
  const bool same = chat.best_engine >= 0 &&
                    m_sites[static_cast<std::size_t>(chat.best_engine)].engine.up &&
                    m_sites[static_cast<std::size_t>(chat.best_engine)].engine.incarnation ==
                        chat.best_incarnation;
  if (chat.turn > 0 && Measured()) {
    ++m_result.returns;
    m_result.prefix_tokens += request.prefix;
    if (same && m_best_cache.Find(chat_number) > 0) {
      ++m_result.best_hits;
      m_result.best_tokens += request.prefix;
    }
  }
  if (!same) {
    std::vector<int> up;
    for (int engine = 0; engine < m_scenario.engines; ++engine) {
      const Engine& candidate = m_sites[static_cast<std::size_t>(engine)].engine;
      if (candidate.up && !candidate.leaving) {
        up.push_back(engine);
      }
    }
    if (!up.empty()) {
      const auto index =
          static_cast<std::size_t>(Draw(static_cast<std::uint64_t>(chat_number) * kTurnStride +
                                            static_cast<std::uint64_t>(chat.turn),
                                        kBest) *
                                   static_cast<double>(up.size()));
      chat.best_engine = up[index];
      chat.best_incarnation =
          m_sites[static_cast<std::size_t>(chat.best_engine)].engine.incarnation;
    }
  }
  m_best_cache.Store(chat_number, request.prefix + request.new_tokens + request.output);
}

void Simulation::EndRequest(int number, bool answered) {
  const Request& request = m_requests[static_cast<std::size_t>(number)];
  Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
  const std::uint64_t subject = static_cast<std::uint64_t>(request.chat) * kTurnStride +
                                static_cast<std::uint64_t>(chat.turn);
  if (answered) {
    chat.context = request.prefix + request.new_tokens + request.output;
  }
  // A refused first turn ends the chat; a later one is left out by the caller.
  if (++chat.turn < chat.turns && chat.context > 0) {
    const bool is_long = Draw(subject, kLongGap) < m_scenario.long_gap_share;
    const double mean = is_long ? m_scenario.long_gap : m_scenario.return_gap;
    Push(m_clock.seconds + Exponential(mean, Draw(subject, kGap)), EventType::kReturn,
         request.chat);
  }
  m_free_requests.push_back(number);
}

}  // namespace wagtailwind::placement_model
