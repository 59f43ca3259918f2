#include "router/response_headers.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include "absl/strings/match.h"

namespace wagtailwind::router {

namespace {

// Answers carry no configuration age if the configuration was confirmed within this time.
constexpr std::chrono::milliseconds kMaxConfirmationAge{7'000};

bool IsEndToEnd(std::string_view name) {
  constexpr std::array<std::string_view, 8> kHopByHop = {
      "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Upgrade",
      "Trailer",    "TE",         "Proxy-Connection"};
  const absl::string_view absl_name(name.data(), name.size());
  return !absl::StartsWithIgnoreCase(absl_name, "Wagtailwind-") &&
         std::none_of(kHopByHop.begin(), kHopByHop.end(),
                      [name](std::string_view hop) { return http::SameName(name, hop); });
}

}  // namespace

std::vector<http::Header> EndToEndHeaders(const std::vector<http::Header>& headers) {
  std::vector<http::Header> kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               [](const http::Header& header) { return IsEndToEnd(header.name); });
  return kept;
}

void AddConfigurationAge(const records::ConfigurationView& configuration,
                         std::vector<http::Header>& headers) {
  const std::optional<std::chrono::milliseconds> age = configuration.ConfirmationAge();
  if (!age || *age > kMaxConfirmationAge) {
    headers.push_back(
        {"Wagtailwind-Config-Age-Ms", age ? std::to_string(age->count()) : "unconfirmed"});
  }
}

ResponseHead ErrorHead(const CallerError& error) {
  ResponseHead head;
  head.status = StatusOf(error);
  head.headers = {{"Content-Type", "application/json"},
                  {"Wagtailwind-Outcome", std::string(requests::ToText(error.outcome))}};
  const bool may_retry = head.status == 429 || head.status == 503;
  if (may_retry) {
    // The header only takes whole seconds, so the time is rounded up, to at least 1 s.
    const auto seconds = std::max<std::int64_t>(1, (error.retry_after.count() + 999) / 1000);
    head.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return head;
}

void SendError(const CallerError& error, const records::ConfigurationView* configuration,
               AnswerChannel& channel) {
  ResponseHead head = ErrorHead(error);
  if (configuration != nullptr) {
    AddConfigurationAge(*configuration, head.headers);
  }
  channel.SetHead(std::move(head));
  channel.Append(ErrorBody(error));
  channel.End();
}

}  // namespace wagtailwind::router
