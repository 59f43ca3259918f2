#include "balancing/prompt_quarantine.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "core/mutant.h"

namespace wagtailwind::balancing {

namespace {

using namespace std::chrono_literals;

// Evidence of one crash against a part. An endpoint that had begun to answer the prompt crashed
// under it or under one of the few that began in the same step; one that had not may have had many
// prompts waiting.
constexpr int kAnsweringEvidence = 3;
constexpr int kWaitingEvidence = 2;

// Two crashes while answering, or three while waiting. The platform tolerates five crashes, and
// each one cuts all streams of its endpoint; a single crash has other causes more often.
constexpr int kMinEvidence = 6;

// Evidence from which one of several equally suspected parts is quarantined. Below it, the next
// crash tells them apart.
constexpr int kMinAmbiguousEvidence = 9;

// Waiting prompts are suspected together with those of a retry at the next endpoint, which a second
// crash may hit by chance. Another request must confirm the suspicion.
constexpr std::size_t kMinWaitingRequests = 2;

// A part is sound if an answer to it began this time before a crash, or later. Shared parts are
// answered several times a second on each router.
constexpr std::chrono::seconds kSoundTime{2};

// Limits of the memory: more crashes within the quarantine time are no longer caused by one prompt,
// and more prompts identify no part.
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxPrompts = 64;

/// Evidence against one part.
struct Tally {
  std::set<std::size_t> crashes;
  std::set<std::string_view> requests;
  int evidence = 0;
  std::size_t answering = 0;

  [[nodiscard]] bool IsSufficient() const noexcept {
    return evidence >= kMinEvidence && (answering * kAnsweringEvidence >= kMinEvidence ||
                                        requests.size() >= kMinWaitingRequests);
  }
};

bool Contains(std::span<const PromptPart> parts, PromptPart part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool ContainsAll(std::span<const PromptPart> parts, std::span<const PromptPart> others) {
  return std::all_of(others.begin(), others.end(),
                     [parts](PromptPart part) { return Contains(parts, part); });
}

}  // namespace

bool AnyAnswering(std::span<const SuspectPrompt> prompts) noexcept {
  return std::any_of(prompts.begin(), prompts.end(),
                     [](const SuspectPrompt& prompt) { return prompt.answering; });
}

bool PromptQuarantine::BeganRecently(PromptPart part, SteadyTime now) const {
  const auto found = m_began.find(part);
  return found != m_began.end() && now - found->second <= kSoundTime;
}

void PromptQuarantine::OnAnswerBegan(std::span<const PromptPart> parts, SteadyTime now) {
  bool changed = false;
  for (const PromptPart part : parts) {
    m_began[part] = now;
    if (!m_suspected.contains(part)) {
      continue;
    }
    changed = true;
    for (Crash& crash : m_crashes) {
      for (SuspectPrompt& prompt : crash.prompts) {
        std::erase(prompt.parts, part);
      }
    }
  }
  if (m_began.size() >= m_began_limit) {
    std::erase_if(m_began, [now](const auto& entry) { return now - entry.second > kSoundTime; });
    m_began_limit = std::max(kMinBeganLimit, 2 * m_began.size());
  }
  if (changed) {
    Update();
  }
}

std::vector<SuspectPrompt> PromptQuarantine::FindSuspects(std::vector<SuspectPrompt> prompts,
                                                          SteadyTime now) const {
  if (AnyAnswering(prompts)) {
    std::erase_if(prompts, [](const SuspectPrompt& prompt) { return !prompt.answering; });
  }
  for (SuspectPrompt& prompt : prompts) {
    std::erase_if(prompt.parts, [&](PromptPart part) { return BeganRecently(part, now); });
  }
  std::erase_if(prompts, [](const SuspectPrompt& prompt) { return prompt.parts.empty(); });
  return prompts;
}

bool PromptQuarantine::IsEvidence(const Crash& crash, std::span<const PromptPart> parts) {
  return std::any_of(
      crash.prompts.begin(), crash.prompts.end(),
      [parts](const SuspectPrompt& prompt) { return ContainsAll(prompt.parts, parts); });
}

PromptQuarantine::Crash& PromptQuarantine::FindOrAdd(const CrashReport& report, SteadyTime now) {
  const auto known =
      std::find_if(m_crashes.begin(), m_crashes.end(), [&report](const Crash& crash) {
        return crash.endpoint == report.endpoint && crash.incarnation == report.incarnation;
      });
  if (known != m_crashes.end()) {
    return *known;
  }
  if (m_crashes.size() >= kMaxCrashes) {
    // The oldest one that is no evidence, if there is one: others would end a quarantine.
    const auto oldest =
        std::find_if(m_crashes.begin(), m_crashes.end(), [this](const Crash& crash) {
          return std::none_of(
              m_quarantined.begin(), m_quarantined.end(),
              [&crash](const QuarantinedParts& entry) { return IsEvidence(crash, entry.parts); });
        });
    m_crashes.erase(oldest == m_crashes.end() ? m_crashes.begin() : oldest);
  }
  Crash& crash = m_crashes.emplace_back();
  crash.endpoint = report.endpoint;
  crash.incarnation = report.incarnation;
  crash.at = now;
  return crash;
}

bool PromptQuarantine::HasAnsweringSuspect(const CrashReport& report) const noexcept {
  return std::any_of(m_crashes.begin(), m_crashes.end(), [&report](const Crash& crash) {
    return crash.endpoint == report.endpoint && crash.incarnation == report.incarnation &&
           AnyAnswering(crash.prompts);
  });
}

void PromptQuarantine::Add(const CrashReport& report, SteadyTime now) {
  Crash& crash = FindOrAdd(report, now);
  for (const SuspectPrompt& prompt : report.prompts) {
    // A prompt whose parts have all been cleared stays in the list, so that a repeated report does
    // not suspect them again.
    const bool is_known = std::any_of(
        crash.prompts.begin(), crash.prompts.end(),
        [&prompt](const SuspectPrompt& known) { return known.request == prompt.request; });
    if (is_known || crash.prompts.size() >= kMaxPrompts) {
      continue;
    }
    SuspectPrompt& added = crash.prompts.emplace_back(prompt);
    std::erase_if(added.parts, [&](PromptPart part) { return BeganRecently(part, now); });
  }
  Update();
}

void PromptQuarantine::Update() {
  m_suspected.clear();
  m_quarantined.clear();
  // The suspects of each crash: if it had begun to answer some prompts, one of these caused it.
  std::vector<std::vector<const SuspectPrompt*>> crashes;
  for (const Crash& crash : m_crashes) {
    const bool answering = AnyAnswering(crash.prompts);
    auto& suspects = crashes.emplace_back();
    for (const SuspectPrompt& prompt : crash.prompts) {
      m_suspected.insert(prompt.parts.begin(), prompt.parts.end());
      if (prompt.answering == answering) {
        suspects.push_back(&prompt);
      }
    }
  }
  if (IsMutantEnabled("forwarder_quarantines_no_prompts")) {
    return;
  }
  // Each round quarantines the parts with the most evidence. The crashes that they explain are no
  // evidence against other prompts, which were in flight by chance.
  while (true) {
    std::map<PromptPart, Tally> tallies;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
      for (const SuspectPrompt* prompt : crashes[i]) {
        for (const PromptPart part : prompt->parts) {
          Tally& tally = tallies[part];
          tally.requests.insert(prompt->request);
          if (tally.crashes.insert(i).second) {
            tally.evidence += prompt->answering ? kAnsweringEvidence : kWaitingEvidence;
            tally.answering += prompt->answering ? 1 : 0;
          }
        }
      }
    }
    const auto best =
        std::max_element(tallies.begin(), tallies.end(), [](const auto& left, const auto& right) {
          return std::pair(left.second.evidence, left.second.requests.size()) <
                 std::pair(right.second.evidence, right.second.requests.size());
        });
    if (best == tallies.end() || !best->second.IsSufficient()) {
      return;
    }
    // Parts that occur in all prompts with the best one can't be told from it.
    QuarantinedParts found;
    bool first = true;
    for (const auto& suspects : crashes) {
      for (const SuspectPrompt* prompt : suspects) {
        if (!Contains(prompt->parts, best->first)) {
          continue;
        }
        if (std::exchange(first, false)) {
          found.parts = prompt->parts;
        } else {
          std::erase_if(found.parts,
                        [prompt](PromptPart part) { return !Contains(prompt->parts, part); });
        }
      }
    }
    found.crashes = best->second.crashes.size();
    for (const std::size_t crash : best->second.crashes) {
      crashes[crash].clear();
    }
    // Whether another prompt was in flight in the same crashes.
    const bool is_ambiguous = std::any_of(tallies.begin(), tallies.end(), [&](const auto& entry) {
      return entry.second.crashes == best->second.crashes &&
             entry.second.evidence == best->second.evidence && !Contains(found.parts, entry.first);
    });
    if (is_ambiguous && best->second.evidence < kMinAmbiguousEvidence) {
      continue;
    }
    std::sort(found.parts.begin(), found.parts.end());
    m_quarantined.push_back(std::move(found));
  }
}

bool PromptQuarantine::IsQuarantined(std::span<const PromptPart> parts, SteadyTime now) {
  const auto found = std::find_if(
      m_quarantined.begin(), m_quarantined.end(),
      [parts](const QuarantinedParts& entry) { return ContainsAll(parts, entry.parts); });
  if (found == m_quarantined.end()) {
    return false;
  }
  for (Crash& crash : m_crashes) {
    if (IsEvidence(crash, found->parts)) {
      crash.at = now;
    }
  }
  return true;
}

bool PromptQuarantine::IsSuspected(std::span<const PromptPart> parts) const {
  return std::any_of(parts.begin(), parts.end(),
                     [this](PromptPart part) { return m_suspected.contains(part); });
}

void PromptQuarantine::RemoveExpired(SteadyTime now) {
  const std::size_t removed = std::erase_if(
      m_crashes, [now](const Crash& crash) { return now - crash.at > kQuarantineTime; });
  if (removed > 0) {
    Update();
  }
}

}  // namespace wagtailwind::balancing
