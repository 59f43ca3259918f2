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

// absl::StrCat takes no std::string_view in the packaged Abseil, which has a type of its own.
template <typename... Part>
std::string Concatenate(const Part&... part) {
  std::string text;
  (text.append(part), ...);
  return text;
}

std::optional<std::uint64_t> HeaderNumber(const http::Response& response, std::string_view name) {
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

void HttpKeyValueService::Count(std::string_view kind, std::string_view result) {
  m_metrics
      .GetCounter(Concatenate("key_value_calls_total{kind=\"", kind, "\",result=\"", result, "\"}"))
      .Add();
}

void HttpKeyValueService::FailRead(const Call& call, const std::string& message) {
  Count(call.kind, "unavailable");
  Log(kKeyValueCallFailed, {{"kind", call.kind}, {"error", message}});
  throw KeyValueUnavailable(message);
}

void HttpKeyValueService::FailWrite(const Call& call, const std::string& message) {
  Count(call.kind, "unknown");
  Log(kKeyValueWriteUnknown, {{"kind", call.kind}, {"error", message}});
  throw KeyValueOutcomeUnknown(message);
}

http::Response HttpKeyValueService::Read(const Call& call, std::chrono::milliseconds timeout) {
  http::Response response;
  try {
    response = m_client.Send(call.method, call.target, call.body, timeout);
  } catch (const http::NotConnected& error) {
    FailRead(call, error.what());
  } catch (const http::AnswerLost& error) {
    FailRead(call, error.what());
  }
  if (response.status == kTooManyRequests) {
    Count(call.kind, "rate_limited");
    throw KeyValueRateLimited(call.target);
  }
  if (response.status != kOk && response.status != kNoContent && response.status != kNotFound) {
    FailRead(call, Concatenate(call.target, ": status ", std::to_string(response.status)));
  }
  Count(call.kind, "ok");
  return response;
}

// A write goes out at most once. If libcurl repeated a compare-and-swap whose first copy was
// applied, the second copy's "conflict" would be reported as "not applied".
http::Response HttpKeyValueService::Write(const Call& call) {
  http::Response response;
  try {
    response = m_client.SendOnce(call.method, call.target, call.body, m_timeout);
  } catch (const http::NotConnected& error) {
    FailRead(call, error.what());
  } catch (const http::AnswerLost& error) {
    FailWrite(call, error.what());
  }
  switch (response.status) {
    case kOk:
    case kConflict:
      Count(call.kind, "ok");
      return response;
    case kTooManyRequests:
      Count(call.kind, "rate_limited");
      throw KeyValueRateLimited(call.target);
    case kGone:
      Count(call.kind, "lease_expired");
      throw LeaseExpired(call.target);
    default:
      FailWrite(call, Concatenate(call.target, ": status ", std::to_string(response.status)));
  }
}

std::uint64_t HttpKeyValueService::WriteNumber(const Call& call, const http::Response& response,
                                               std::string_view header) {
  const std::optional<std::uint64_t> number = HeaderNumber(response, header);
  if (!number) {
    FailWrite(call, Concatenate(call.target, ": no ", header, " in the answer"));
  }
  return *number;
}

std::optional<VersionedValue> HttpKeyValueService::Get(std::string_view key) {
  const Call call{"get", "GET", "/v1/values/" + http::PercentEncode(key), ""};
  http::Response response = Read(call, m_timeout);
  if (response.status == kNotFound) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> revision = HeaderNumber(response, kRevisionHeader);
  if (response.status != kOk || !revision) {
    FailRead(call, call.target + ": malformed answer");
  }
  return VersionedValue{std::move(response.body), *revision};
}

SwapResult HttpKeyValueService::CompareAndSwap(std::string_view key, Revision expected,
                                               std::string_view value, LeaseId lease) {
  const Call call{"compare_and_swap", "PUT",
                  Concatenate("/v1/values/", http::PercentEncode(key), "?expected=",
                              std::to_string(expected), "&lease=", std::to_string(lease)),
                  std::string(value)};
  const http::Response response = Write(call);
  return {response.status == kOk, WriteNumber(call, response, kRevisionHeader)};
}

std::optional<VersionedValue> HttpKeyValueService::Watch(std::string_view key, Revision after,
                                                         std::chrono::milliseconds timeout) {
  const Call call{
      "watch", "GET",
      Concatenate("/v1/watch/", http::PercentEncode(key), "?after=", std::to_string(after),
                  "&timeout_ms=", std::to_string(timeout.count())),
      ""};
  http::Response response = Read(call, timeout + m_timeout);
  if (response.status == kNoContent) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> revision = HeaderNumber(response, kRevisionHeader);
  if (response.status != kOk || !revision) {
    FailRead(call, call.target + ": malformed answer");
  }
  return VersionedValue{std::move(response.body), *revision};
}

LeaseId HttpKeyValueService::GrantLease(std::chrono::milliseconds time_to_live) {
  const Call call{"grant_lease", "POST",
                  Concatenate("/v1/leases?ttl_ms=", std::to_string(time_to_live.count())), ""};
  return WriteNumber(call, Write(call), kLeaseHeader);
}

void HttpKeyValueService::KeepAlive(LeaseId lease) {
  (void)Write(
      {"keep_alive", "POST", Concatenate("/v1/keep-alive?lease=", std::to_string(lease)), ""});
}

void HttpKeyValueService::Revoke(LeaseId lease) {
  (void)Write({"revoke", "DELETE", Concatenate("/v1/leases?lease=", std::to_string(lease)), ""});
}

}  // namespace wagtailwind::platform
