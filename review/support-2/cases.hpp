#ifndef WAGTAILWIND_REVIEW_CASES_HPP_
#define WAGTAILWIND_REVIEW_CASES_HPP_

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// \brief Crashes of replicas, then a final fault of all forwarders. Returns an exit code.
[[nodiscard]] int RunCrashesBeforeFinalFault(bool with_trouble);

/// \brief Prompts with a part that crashes each replica that begins to answer them.
[[nodiscard]] int RunPoisonedPrompts(bool with_trouble);

/// \brief Another writer overwrites the entry of a replica that drains.
[[nodiscard]] int RunOverwrittenDrain(bool with_trouble);

/// \brief A replica announces that it leaves while the store is down, after its entry was
/// overwritten and written again.
[[nodiscard]] int RunUnheardAnnouncement(bool with_trouble);

/// \brief A configuration raises the limit of bodies while callers keep their connections.
[[nodiscard]] int RunRaisedLimit(bool with_trouble);

}  // namespace review

#endif  // WAGTAILWIND_REVIEW_CASES_HPP_
