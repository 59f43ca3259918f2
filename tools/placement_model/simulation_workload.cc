#include <algorithm>
#include <cmath>

#include "core/hash.h"
#include "placement_model/simulation.h"

namespace wagtailwind::placement_model {

namespace {

// Distinguishes the random numbers of one subject. Each depends only on the seed, the subject and
// the salt, so that all policies get the same chats.
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
  kIdealEngine,
  kArrival,
};

// Distance between the subjects of two chats, whose turns are numbered in between.
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
         m_clock.seconds < m_scenario.surge_at + m_scenario.surge_duration;
}

bool Simulation::IsMeasured() const { return m_clock.seconds >= m_scenario.warm_up; }

void Simulation::ScheduleNewChat() {
  const double surge_extra =
      InSurge() ? m_organisation_fractions.front() * (m_scenario.surge_factor - 1) : 0;
  const double mean = 1 / (m_scenario.chats_per_second * (1 + surge_extra));
  Schedule(m_clock.seconds + Exponential(mean, Draw(m_chats.size(), kArrival)),
           EventType::kNewChat);
}

void Simulation::StartChat() {
  const auto number = static_cast<int>(m_chats.size());
  const std::uint64_t subject = m_chats.size();
  Chat chat;
  const double surge_extra =
      InSurge() ? m_organisation_fractions.front() * (m_scenario.surge_factor - 1) : 0;
  double remaining = Draw(subject, kOrganisation) * (1 + surge_extra) - surge_extra;
  while (remaining >= m_organisation_fractions[static_cast<std::size_t>(chat.organisation)] &&
         chat.organisation + 1 < m_scenario.organisations) {
    remaining -= m_organisation_fractions[static_cast<std::size_t>(chat.organisation++)];
  }
  remaining = Draw(subject, kRank);
  while (chat.rank + 1 < static_cast<int>(PriorityClasses().size()) &&
         remaining >= PriorityClasses()[static_cast<std::size_t>(chat.rank)].request_fraction) {
    remaining -= PriorityClasses()[static_cast<std::size_t>(chat.rank++)].request_fraction;
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
  // Callers allow up to twice the output that they get.
  request.max_output = std::floor(request.output * (1 + Draw(subject, kMaxOutput))) + 1;
  request.zone = static_cast<int>(Draw(subject, kZone) * m_scenario.zones);
  UpdateIdealPlacement(chat, chat_number, request);
  int number = 0;
  if (m_free_requests.empty()) {
    number = static_cast<int>(m_requests.size());
    m_requests.push_back(std::move(request));
  } else {
    number = m_free_requests.back();
    m_free_requests.pop_back();
    m_requests[static_cast<std::size_t>(number)] = std::move(request);
  }
  if (IsMeasured()) {
    ++m_result.requests;
    ++m_result.class_requests[static_cast<std::size_t>(chat.rank)];
    m_result.surge_other_requests += InSurge() && chat.organisation != 0 ? 1 : 0;
  }
  Place(number);
}

void Simulation::UpdateIdealPlacement(Chat& chat, int chat_number, const Request& request) {
  const bool engine_unchanged =
      chat.ideal_engine >= 0 && m_nodes[static_cast<std::size_t>(chat.ideal_engine)].engine.up &&
      m_nodes[static_cast<std::size_t>(chat.ideal_engine)].engine.incarnation ==
          chat.ideal_incarnation;
  if (chat.turn > 0 && IsMeasured()) {
    ++m_result.returning_requests;
    m_result.prefix_tokens += request.prefix;
    if (engine_unchanged && m_ideal_cache.Find(chat_number) > 0) {
      ++m_result.ideal_hits;
      m_result.ideal_tokens += request.prefix;
    }
  }
  if (!engine_unchanged) {
    std::vector<int> up;
    for (int engine = 0; engine < m_scenario.engines; ++engine) {
      const Engine& candidate = m_nodes[static_cast<std::size_t>(engine)].engine;
      if (candidate.up && !candidate.leaving) {
        up.push_back(engine);
      }
    }
    if (!up.empty()) {
      const auto index =
          static_cast<std::size_t>(Draw(static_cast<std::uint64_t>(chat_number) * kTurnStride +
                                            static_cast<std::uint64_t>(chat.turn),
                                        kIdealEngine) *
                                   static_cast<double>(up.size()));
      chat.ideal_engine = up[index];
      chat.ideal_incarnation =
          m_nodes[static_cast<std::size_t>(chat.ideal_engine)].engine.incarnation;
    }
  }
  m_ideal_cache.Store(chat_number, request.prefix + request.new_tokens + request.output);
}

void Simulation::EndRequest(int number, bool answered) {
  const Request& request = m_requests[static_cast<std::size_t>(number)];
  Chat& chat = m_chats[static_cast<std::size_t>(request.chat)];
  const std::uint64_t subject = static_cast<std::uint64_t>(request.chat) * kTurnStride +
                                static_cast<std::uint64_t>(chat.turn);
  if (answered) {
    chat.context = request.prefix + request.new_tokens + request.output;
  }
  // A chat ends if its first turn fails. After a later failure the caller goes on with the next
  // turn.
  if (++chat.turn < chat.turns && chat.context > 0) {
    const bool is_long_gap = Draw(subject, kLongGap) < m_scenario.long_gap_share;
    const double mean = is_long_gap ? m_scenario.long_gap : m_scenario.turn_gap;
    Schedule(m_clock.seconds + Exponential(mean, Draw(subject, kGap)), EventType::kNextTurn,
             request.chat);
  }
  m_free_requests.push_back(number);
}

}  // namespace wagtailwind::placement_model
