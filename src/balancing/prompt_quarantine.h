#ifndef WAGTAILWIND_BALANCING_PROMPT_QUARANTINE_H_
#define WAGTAILWIND_BALANCING_PROMPT_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "balancing/prompt.h"
#include "core/clock.h"
#include "core/ids.h"

namespace wagtailwind::balancing {

/// \brief A request that waited for its answer, or its first event, when its endpoint crashed.
struct SuspectPrompt {
  /// Id of the request.
  std::string request;
  /// The parts of its prompt, if it has one, and a hash of its content as a whole.
  std::vector<PromptPart> parts{};
  /// The head of the answer had arrived: the endpoint had begun to answer this prompt.
  bool answering = false;
};

/// \brief Returns whether the endpoint had begun to answer any of the prompts.
[[nodiscard]] bool AnyAnswering(std::span<const SuspectPrompt> prompts) noexcept;

/// \brief The suspect prompts that one router had at an endpoint when it crashed.
struct CrashReport {
  EndpointName endpoint;
  Incarnation incarnation = 0;
  std::vector<SuspectPrompt> prompts{};
};

/// \brief Combination of parts whose prompts crash endpoints, and its evidence.
struct QuarantinedParts {
  /// Sorted. A prompt that contains all of them is quarantined.
  std::vector<PromptPart> parts;
  std::size_t crashes = 0;
};

/// \brief Finds the parts of prompts, or the requests, under which endpoints crash, from the
/// reports of all routers. The content of a request counts as a part that only its repeats share.
///
/// The request that crashes an endpoint is among those for which no event has arrived. A part is
/// suspected by each crash of an endpoint with such a prompt, and cleared by each answer to a
/// prompt that contains it. Parts that always occur together are quarantined only together, so that
/// a part that sound prompts share is cleared by the next of them.
class PromptQuarantine {
 public:
  /// \brief The first event of an answer to a prompt with these parts has arrived.
  void OnAnswerBegan(std::span<const PromptPart> parts, SteadyTime now);

  /// \brief Returns the prompts that may have caused a crash at `now`, without the parts that
  /// are known to be sound. Prompts that an endpoint had begun to answer rule out the others.
  [[nodiscard]] std::vector<SuspectPrompt> FindSuspects(std::vector<SuspectPrompt> prompts,
                                                        SteadyTime now) const;

  /// \brief Adds a report of this or another router. A report that was added before has no effect.
  void Add(const CrashReport& report, SteadyTime now);

  /// \brief Returns whether another router has reported a prompt that the endpoint had begun to
  /// answer when it crashed.
  [[nodiscard]] bool HasAnsweringSuspect(const CrashReport& report) const noexcept;

  /// \brief Returns whether a prompt with these parts must not be sent to an endpoint. The
  /// quarantine lasts at least kQuarantineTime beyond the last such call.
  [[nodiscard]] bool IsQuarantined(std::span<const PromptPart> parts, SteadyTime now);

  /// \brief Returns whether a request with one of these parts may have caused a crash.
  [[nodiscard]] bool IsSuspected(std::span<const PromptPart> parts) const;

  /// \brief Forgets crashes that are older than kQuarantineTime.
  void RemoveExpired(SteadyTime now);

  [[nodiscard]] const std::vector<QuarantinedParts>& Quarantined() const noexcept {
    return m_quarantined;
  }

  /// Time after which a quarantined prompt is tried again: an operator has had the time to replace
  /// the endpoints' software, and one try in this time harms few callers.
  static constexpr std::chrono::minutes kQuarantineTime{10};

 private:
  struct Crash {
    EndpointName endpoint;
    Incarnation incarnation = 0;
    std::vector<SuspectPrompt> prompts;
    SteadyTime at{};
  };

  static constexpr std::size_t kMinBeganLimit = 256;

  [[nodiscard]] bool BeganRecently(PromptPart part, SteadyTime now) const;
  /// Returns the crash of a report; adds it if it is unknown.
  [[nodiscard]] Crash& FindOrAdd(const CrashReport& report, SteadyTime now);
  /// Whether a prompt of the crash contains all these parts.
  [[nodiscard]] static bool IsEvidence(const Crash& crash, std::span<const PromptPart> parts);
  /// Derives m_quarantined and m_suspected from the crashes.
  void Update();

  std::deque<Crash> m_crashes;
  std::vector<QuarantinedParts> m_quarantined;
  /// Parts that any crash suspects.
  std::unordered_set<PromptPart> m_suspected;
  /// Times at which the last answers to prompts with a part began.
  std::unordered_map<PromptPart, SteadyTime> m_began;
  /// Size at which old entries of m_began are removed. Doubled if most are recent, so that the cost
  /// of a removal is spread over as many answers.
  std::size_t m_began_limit = kMinBeganLimit;
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_PROMPT_QUARANTINE_H_
