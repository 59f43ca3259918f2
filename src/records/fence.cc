#include "records/fence.h"

#include <algorithm>
#include <optional>

#include "absl/strings/numbers.h"
#include "records/log_events.h"

namespace wagtailwind::records {

namespace {

constexpr int kMaxAttempts = 12;
constexpr std::chrono::milliseconds kFirstBackoff{20};
constexpr int kMaxDoublings = 5;

/// \brief Value of a fence, `<token> <owner>`. The owner settles a lost answer.
struct FenceValue {
  FencingToken token = 0;
  std::string owner;
};

std::string KeyOf(const EndpointName& endpoint) { return "fence/" + endpoint.value(); }

FenceValue ParseFence(const std::optional<platform::VersionedValue>& value) {
  FenceValue fence;
  if (!value) {
    return fence;
  }
  const std::size_t space = value->value.find(' ');
  if (space == std::string::npos ||
      !absl::SimpleAtoi(value->value.substr(0, space), &fence.token)) {
    // A token below one that was issued would make all orders stale, so none is guessed.
    throw platform::KeyValueUnavailable("malformed fence: " + value->value);
  }
  fence.owner = value->value.substr(space + 1);
  return fence;
}

std::optional<FencingToken> Attempt(const std::string& key, const std::string& owner,
                                    platform::KeyValueService& service) {
  const std::optional<platform::VersionedValue> value = service.Get(key);
  const FenceValue present = ParseFence(value);
  if (present.owner == owner) {
    return present.token;
  }
  const FencingToken token = present.token + 1;
  const platform::SwapResult result =
      service.CompareAndSwap(key, value ? value->revision : 0, std::to_string(token) + " " + owner);
  return result.swapped ? std::optional(token) : std::nullopt;
}

}  // namespace

FencingToken RaiseFence(const EndpointName& endpoint, platform::KeyValueService& service,
                        RandomSource& random, const Pause& pause) {
  const std::string key = KeyOf(endpoint);
  const std::string owner = ToHex(random.NewRequestId());
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    try {
      if (const std::optional<FencingToken> token = Attempt(key, owner, service)) {
        Log(kFenceRaised, {{"endpoint", endpoint.value()}, {"token", *token}});
        return *token;
      }
    } catch (const platform::KeyValueOutcomeUnknown& error) {
      Log(kFenceAnswerLost, {{"endpoint", endpoint.value()}, {"error", error.what()}});
    } catch (const platform::KeyValueUnavailable&) {
      // Tried again below.
    } catch (const platform::KeyValueRateLimited&) {
      // Tried again below.
    }
    const auto bound = kFirstBackoff * (1 << std::min(attempt, kMaxDoublings));
    pause(std::chrono::milliseconds(random.NextBelow(static_cast<std::uint64_t>(bound.count()))));
  }
  throw platform::KeyValueUnavailable("fence of " + endpoint.value() + " could not be raised");
}

FencingToken ReadFence(const EndpointName& endpoint, platform::KeyValueService& service) {
  return ParseFence(service.Get(KeyOf(endpoint))).token;
}

}  // namespace wagtailwind::records
