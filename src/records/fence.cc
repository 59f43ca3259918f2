#include "records/fence.h"

#include <algorithm>
#include <optional>

#include "absl/strings/numbers.h"
#include "records/log_events.h"

namespace wagtailwind::records {

namespace {

constexpr int kMaxAttempts = 12;
constexpr std::chrono::milliseconds kFirstBackoff{20};
constexpr int kMaxDoublings = 5;  // Caps the backoff at 640 ms.

/// \brief Stored value, `<token> <owner>`. The owner is the id of the call that wrote it, by which
/// the call recognises its own write after a lost response.
struct FenceValue {
  FencingToken token = 0;
  std::string owner;
};

std::string FenceKey(const EndpointName& endpoint) { return "fence/" + endpoint.value(); }

FenceValue ParseFence(const std::optional<platform::VersionedValue>& value) {
  FenceValue fence;
  if (!value) {
    return fence;
  }
  const std::size_t space = value->value.find(' ');
  if (space == std::string::npos ||
      !absl::SimpleAtoi(value->value.substr(0, space), &fence.token)) {
    // Restarting from a default could issue a token below an earlier one, and the endpoint would
    // refuse all further orders as stale.
    throw platform::KeyValueUnavailable("malformed fencing token: " + value->value);
  }
  fence.owner = value->value.substr(space + 1);
  return fence;
}

// Makes one attempt to increment the token. Returns nothing if another call wrote first.
std::optional<FencingToken> TryIncrementToken(const std::string& key, const std::string& owner,
                                              platform::KeyValueService& service) {
  const std::optional<platform::VersionedValue> value = service.Get(key);
  const FenceValue current = ParseFence(value);
  if (current.owner == owner) {
    return current.token;
  }
  const FencingToken token = current.token + 1;
  const platform::SwapResult result =
      service.CompareAndSwap(key, value ? value->revision : 0, std::to_string(token) + " " + owner);
  return result.swapped ? std::optional(token) : std::nullopt;
}

}  // namespace

FencingToken RaiseFence(const EndpointName& endpoint, platform::KeyValueService& service,
                        RandomSource& random, const Pause& pause) {
  const std::string key = FenceKey(endpoint);
  const std::string owner = ToHex(random.NewRequestId());
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    try {
      if (const std::optional<FencingToken> token = TryIncrementToken(key, owner, service)) {
        Log(kFenceRaised, {{"endpoint", endpoint.value()}, {"token", *token}});
        return *token;
      }
    } catch (const platform::KeyValueOutcomeUnknown& error) {
      Log(kFenceAnswerLost, {{"endpoint", endpoint.value()}, {"error", error.what()}});
    } catch (const platform::KeyValueUnavailable&) {
      // Retried after the backoff.
    } catch (const platform::KeyValueRateLimited&) {
      // Retried after the backoff.
    }
    const auto bound = kFirstBackoff * (1 << std::min(attempt, kMaxDoublings));
    pause(std::chrono::milliseconds(random.NextBelow(static_cast<std::uint64_t>(bound.count()))));
  }
  throw platform::KeyValueUnavailable("fencing token of " + endpoint.value() +
                                      " could not be issued");
}

FencingToken ReadFence(const EndpointName& endpoint, platform::KeyValueService& service) {
  return ParseFence(service.Get(FenceKey(endpoint))).token;
}

}  // namespace wagtailwind::records
