#include "platform/http_key_value_service.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "platform/log_events.h"

namespace wagtailwind::platform {

namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr std::string_view kRevisionHeader = "Revision";
constexpr std::string_view kLeaseHeader = "Lease";

// The packaged Abseil has its own absl::string_view, so absl::StrCat rejects std::string_view.
template <typename... Part>
std::string Concatenate(const Part&... part) {
  std::string text;
  (text.append(part), ...);
  return text;
}

std::optional<std::uint64_t> ParseNumericHeader(const http::Response& response,
                                                std::string_view name) {
  std::uint64_t number = 0;
  const std::string_view text = http::FindHeader(response.headers, name);
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number)) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

struct HttpKeyValueService::Call {
  std::string_view kind;
  std::string method;
  std::string target;
  std::string body;
};

HttpKeyValueService::HttpKeyValueService(std::string address, MetricsRegistry& metrics,
                                         std::chrono::milliseconds timeout)
    : m_client(std::move(address)), m_metrics(metrics), m_timeout(timeout) {}

void HttpKeyValueService::CountCall(std::string_view kind, std::string_view result) {
  m_metrics
      .GetCounter(Concatenate("key_value_calls_total{kind=\"", kind, "\",result=\"", result, "\"}"))
      .Add();
}

void HttpKeyValueService::ThrowUnavailable(const Call& call, const std::string& message) {
  CountCall(call.kind, "unavailable");
  Log(kKeyValueCallFailed, {{"kind", call.kind}, {"error", message}});
  throw KeyValueUnavailable(message);
}

void HttpKeyValueService::ThrowOutcomeUnknown(const Call& call, const std::string& message) {
  CountCall(call.kind, "unknown");
  Log(kKeyValueWriteUnknown, {{"kind", call.kind}, {"error", message}});
  throw KeyValueOutcomeUnknown(message);
}

http::Response HttpKeyValueService::SendRead(const Call& call, std::chrono::milliseconds timeout) {
  http::Response response;
  try {
    response = m_client.Send(call.method, call.target, call.body, timeout);
  } catch (const http::NotConnected& error) {
    ThrowUnavailable(call, error.what());
  } catch (const http::ResponseLost& error) {
    ThrowUnavailable(call, error.what());
  }
  if (response.status == kTooManyRequests) {
    CountCall(call.kind, "rate_limited");
    throw KeyValueRateLimited(call.target);
  }
  if (response.status != kOk && response.status != kNoContent && response.status != kNotFound) {
    ThrowUnavailable(call, Concatenate(call.target, ": status ", std::to_string(response.status)));
  }
  CountCall(call.kind, "ok");
  return response;
}

// Sends a write at most once. If libcurl repeated a compare-and-swap whose first copy was applied,
// the conflict returned for the second copy would be reported as "not applied".
http::Response HttpKeyValueService::SendWrite(const Call& call) {
  http::Response response;
  try {
    response = m_client.Send(call.method, call.target, call.body, m_timeout);
  } catch (const http::NotConnected& error) {
    ThrowUnavailable(call, error.what());
  } catch (const http::ResponseLost& error) {
    ThrowOutcomeUnknown(call, error.what());
  }
  switch (response.status) {
    case kOk:
    case kConflict:
      CountCall(call.kind, "ok");
      return response;
    case kTooManyRequests:
      CountCall(call.kind, "rate_limited");
      throw KeyValueRateLimited(call.target);
    case kGone:
      CountCall(call.kind, "lease_expired");
      throw LeaseExpired(call.target);
    default:
      ThrowOutcomeUnknown(call,
                          Concatenate(call.target, ": status ", std::to_string(response.status)));
  }
}

std::uint64_t HttpKeyValueService::RequireNumericHeader(const Call& call,
                                                        const http::Response& response,
                                                        std::string_view header) {
  const std::optional<std::uint64_t> number = ParseNumericHeader(response, header);
  if (!number) {
    ThrowOutcomeUnknown(call, Concatenate(call.target, ": no header ", header, " in the response"));
  }
  return *number;
}

std::optional<VersionedValue> HttpKeyValueService::Get(std::string_view key) {
  const Call call{"get", "GET", "/v1/values/" + http::PercentEncode(key), ""};
  http::Response response = SendRead(call, m_timeout);
  if (response.status == kNotFound) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> revision = ParseNumericHeader(response, kRevisionHeader);
  if (response.status != kOk || !revision) {
    ThrowUnavailable(call, call.target + ": malformed response");
  }
  return VersionedValue{std::move(response.body), *revision};
}

SwapResult HttpKeyValueService::CompareAndSwap(std::string_view key, Revision expected,
                                               std::string_view value, LeaseId lease) {
  const Call call{"compare_and_swap", "PUT",
                  Concatenate("/v1/values/", http::PercentEncode(key), "?expected=",
                              std::to_string(expected), "&lease=", std::to_string(lease)),
                  std::string(value)};
  const http::Response response = SendWrite(call);
  return {response.status == kOk, RequireNumericHeader(call, response, kRevisionHeader)};
}

std::optional<VersionedValue> HttpKeyValueService::Watch(std::string_view key, Revision after,
                                                         std::chrono::milliseconds timeout) {
  const Call call{
      "watch", "GET",
      Concatenate("/v1/watch/", http::PercentEncode(key), "?after=", std::to_string(after),
                  "&timeout_ms=", std::to_string(timeout.count())),
      ""};
  http::Response response = SendRead(call, timeout + m_timeout);
  if (response.status == kNoContent) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> revision = ParseNumericHeader(response, kRevisionHeader);
  if (response.status != kOk || !revision) {
    ThrowUnavailable(call, call.target + ": malformed response");
  }
  return VersionedValue{std::move(response.body), *revision};
}

LeaseId HttpKeyValueService::GrantLease(std::chrono::milliseconds time_to_live) {
  const Call call{"grant_lease", "POST",
                  Concatenate("/v1/leases?ttl_ms=", std::to_string(time_to_live.count())), ""};
  return RequireNumericHeader(call, SendWrite(call), kLeaseHeader);
}

void HttpKeyValueService::KeepAlive(LeaseId lease) {
  (void)SendWrite(
      {"keep_alive", "POST", Concatenate("/v1/keep-alive?lease=", std::to_string(lease)), ""});
}

void HttpKeyValueService::Revoke(LeaseId lease) {
  (void)SendWrite(
      {"revoke", "DELETE", Concatenate("/v1/leases?lease=", std::to_string(lease)), ""});
}

}  // namespace wagtailwind::platform
