#include "histories/fault_plan.h"

#include "core/random_source.h"

namespace wagtailwind::histories {

namespace {

constexpr std::uint64_t kMinGapMs = 200;
constexpr std::uint64_t kGapRangeMs = 700;
// One fault in four repeats the previous one, and one in five begins at the same time as it.
constexpr std::uint64_t kRepeatOneIn = 4;
constexpr std::uint64_t kTogetherOneIn = 5;

const FaultKind& ChooseKind(std::span<const FaultKind> kinds, RandomSource& random) {
  std::uint64_t total = 0;
  for (const FaultKind& kind : kinds) {
    total += kind.weight;
  }
  std::uint64_t left = total == 0 ? 0 : random.NextBelow(total);
  for (const FaultKind& kind : kinds) {
    if (left < kind.weight) {
      return kind;
    }
    left -= kind.weight;
  }
  return kinds.back();
}

Fault ChooseFault(std::span<const FaultKind> kinds, RandomSource& random) {
  const FaultKind& kind = ChooseKind(kinds, random);
  const auto range = static_cast<std::uint64_t>((kind.longest - kind.shortest).count()) + 1;
  Fault fault;
  fault.kind = kind.name;
  fault.target = random.NextBelow(kind.targets);
  fault.duration = kind.shortest + std::chrono::milliseconds(random.NextBelow(range));
  return fault;
}

}  // namespace

std::vector<Fault> MakeFaultPlan(std::span<const FaultKind> kinds, std::uint64_t seed,
                                 std::chrono::milliseconds length) {
  SeededRandomSource random(seed);
  std::vector<Fault> plan;
  std::chrono::milliseconds time{0};
  while (true) {
    if (plan.empty() || random.NextBelow(kTogetherOneIn) != 0) {
      time += std::chrono::milliseconds(kMinGapMs + random.NextBelow(kGapRangeMs));
    }
    if (time >= length) {
      return plan;
    }
    const bool repeat = !plan.empty() && random.NextBelow(kRepeatOneIn) == 0;
    Fault fault = repeat ? plan.back() : ChooseFault(kinds, random);
    fault.begin = time;
    plan.push_back(fault);
  }
}

}  // namespace wagtailwind::histories
