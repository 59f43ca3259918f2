#include "router/validated_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "absl/strings/match.h"
#include "core/hash.h"
#include "requests/answer_id.h"
#include "requests/claim_log.h"
#include "router/service_path.h"

namespace wagtailwind::router {

using requests::FailureReason;
using requests::Outcome;

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::size_t kMaxChatIdLength = 128;
constexpr std::uint32_t kDefaultMaxOutputTokens = 512;
constexpr std::uint32_t kMaxOutputTokens = 1U << 20U;
// One hour; a longer wait is not a useful deadline.
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::chrono::milliseconds kFallbackDeadline{30'000};
constexpr std::uint32_t kBytesPerToken = 4;

/// \brief Thrown when a check fails; caught in ValidateRequest().
struct Rejected {
  CallerError error;
};

[[noreturn]] void Reject(FailureReason reason, std::string message = {}) {
  const Outcome outcome =
      reason == FailureReason::kRequestKeyExpired ? Outcome::kUnknown : Outcome::kNotRun;
  throw Rejected{{reason, outcome, std::chrono::milliseconds(0), std::move(message)}};
}

[[noreturn]] void RejectMalformed(std::string message) {
  Reject(FailureReason::kMalformedRequest, std::move(message));
}

template <typename Record, typename Name>
const Record* FindByName(const std::vector<Record>& records, const Name& name) noexcept {
  const auto found = std::find_if(records.begin(), records.end(),
                                  [&name](const Record& record) { return record.name == name; });
  return found == records.end() ? nullptr : &*found;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) noexcept {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  const bool valid = error == std::errc() && parsed_end == end && !text.empty();
  return valid ? std::optional(number) : std::nullopt;
}

bool IsPrintable(std::string_view text) noexcept {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char character) { return character >= ' ' && character < 0x7f; });
}

bool StartsWithIgnoringCase(std::string_view text, std::string_view prefix) {
  return absl::StartsWithIgnoreCase({text.data(), text.size()}, {prefix.data(), prefix.size()});
}

// If one of these headers is repeated, two parsers could use different values of it.
void RejectRepeatedHeaders(const std::vector<http::Header>& headers) {
  for (auto header = headers.begin(); header != headers.end(); ++header) {
    const bool must_be_unique = StartsWithIgnoringCase(header->name, "Wagtailwind-") ||
                                http::SameName(header->name, "Last-Event-ID");
    const bool repeats =
        must_be_unique &&
        std::any_of(headers.begin(), header, [header](const http::Header& earlier) {
          return http::SameName(earlier.name, header->name);
        });
    if (repeats) {
      RejectMalformed(header->name + " is given twice");
    }
  }
}

class Validator {
 public:
  Validator(const http::Request& request, const records::Configuration& configuration, WallTime now)
      : m_request(request), m_configuration(configuration), m_now(now) {}

  ValidatedRequest Validate() {
    RejectRepeatedHeaders(m_request.headers);
    ReadOrganisation();
    ReadPriorityAndDeadline();
    ReadRequestKey();
    m_result.call.configuration_version = m_configuration.version;
    if (m_request.path == kChatPath) {
      ReadChat();
    } else if (m_request.path.starts_with(kServicePrefix)) {
      ReadService();
    } else {
      Reject(FailureReason::kUnknownService, "there is nothing at this path");
    }
    return std::move(m_result);
  }

 private:
  [[nodiscard]] std::string_view Header(std::string_view name) const {
    return http::FindHeader(m_request.headers, name);
  }

  void ReadOrganisation() {
    const std::string_view name = Header("Wagtailwind-Organisation");
    if (name.empty()) {
      RejectMalformed("Wagtailwind-Organisation is missing");
    }
    m_organisation = FindByName(m_configuration.organisations, OrganisationName(std::string(name)));
    if (m_organisation == nullptr) {
      Reject(FailureReason::kUnknownOrganisation);
    }
    m_result.call.organisation = m_organisation->name;
    m_result.placement.organisation = m_organisation->name;
  }

  void ReadPriorityAndDeadline() {
    const std::string_view name = Header("Wagtailwind-Priority");
    m_result.call.priority_class =
        name.empty() ? m_organisation->default_class : PriorityClassName(std::string(name));
    const auto* priority_class =
        FindByName(m_configuration.priority_classes, m_result.call.priority_class);
    if (priority_class == nullptr && !name.empty()) {
      RejectMalformed("the class in Wagtailwind-Priority is not known");
    }
    m_result.deadline =
        priority_class == nullptr ? kFallbackDeadline : priority_class->default_deadline;
    const std::string_view deadline = Header("Wagtailwind-Deadline-Ms");
    if (!deadline.empty()) {
      const auto value = ParseNumber<std::uint64_t>(deadline);
      if (!value || *value == 0 || *value > kMaxDeadlineMs) {
        RejectMalformed("Wagtailwind-Deadline-Ms is not a number from 1 to 3600000");
      }
      m_result.deadline = std::chrono::milliseconds(*value);
    }
  }

  void ReadRequestKey() {
    const std::string_view text = Header("Wagtailwind-Request-Key");
    if (text.empty()) {
      return;
    }
    const std::optional<requests::RequestKey> key = requests::ParseRequestKey(text);
    if (!key) {
      Reject(FailureReason::kInvalidRequestKey);
    }
    if (!requests::IsWithinAcceptanceWindow(*key, m_now)) {
      Reject(FailureReason::kRequestKeyExpired);
    }
    m_result.call.request_key = key->text;
  }

  void ReadChat() {
    if (m_request.method != "POST") {
      RejectMalformed("this path takes POST only");
    }
    if (ReadResumePoint()) {
      return;
    }
    const nlohmann::json body = nlohmann::json::parse(m_request.body, nullptr, false);
    if (!body.is_object()) {
      RejectMalformed("the body is not a JSON object");
    }
    rpc::ChatCall call;
    call.model = ReadModel(body);
    call.adapter = ReadAdapter(body, call.model);
    call.chat = ReadChatId();
    call.stream = ReadStream(body);
    call.max_output_tokens = ReadMaxTokens(body);
    call.prefix_hash = ReadPrefixHash(body);
    call.prompt_tokens = static_cast<std::uint32_t>(m_request.body.size()) / kBytesPerToken;
    call.body = m_request.body;
    m_result.placement.kind = gossip::EndpointKind::kEngine;
    m_result.placement.model = call.model;
    m_result.placement.chat = call.chat;
    ReadPlacementHint();
    m_result.call.call = std::move(call);
  }

  bool ReadResumePoint() {
    const std::string_view text = Header("Last-Event-ID");
    if (text.empty()) {
      return false;
    }
    m_result.resume = ParseLastEventId(text);
    if (!m_result.resume) {
      RejectMalformed("Last-Event-ID is not <answer id>/<offset>");
    }
    m_result.repeatable = false;
    return true;
  }

  ModelName ReadModel(const nlohmann::json& body) {
    const auto found = body.find("model");
    if (found == body.end() || !found->is_string()) {
      RejectMalformed("model is missing or not a string");
    }
    ModelName name(found->get<std::string>());
    const records::Model* const model = FindByName(m_configuration.models, name);
    const std::vector<ModelName>& allowed = m_organisation->allowed_models;
    const bool is_allowed =
        allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    if (model == nullptr || !is_allowed) {
      Reject(FailureReason::kUnknownModel);
    }
    m_result.placement.pool = model->pool;
    return name;
  }

  [[nodiscard]] std::string ReadAdapter(const nlohmann::json& body, const ModelName& model) const {
    const auto found = body.find("adapter");
    if (found == body.end() || found->is_null()) {
      return {};
    }
    if (!found->is_string()) {
      RejectMalformed("adapter is not a string");
    }
    auto name = found->get<std::string>();
    const records::Adapter* const adapter = FindByName(m_configuration.adapters, name);
    if (adapter == nullptr || adapter->model != model) {
      Reject(FailureReason::kUnknownModel);
    }
    return name;
  }

  [[nodiscard]] ChatId ReadChatId() const {
    const std::string_view text = Header("Wagtailwind-Chat");
    if (text.size() > kMaxChatIdLength || !IsPrintable(text)) {
      RejectMalformed("Wagtailwind-Chat is not 1 to 128 printable characters");
    }
    return ChatId(std::string(text));
  }

  static bool ReadStream(const nlohmann::json& body) {
    const auto found = body.find("stream");
    if (found == body.end() || found->is_null()) {
      return false;
    }
    if (!found->is_boolean()) {
      RejectMalformed("stream is not true or false");
    }
    return found->get<bool>();
  }

  static std::uint32_t ReadMaxTokens(const nlohmann::json& body) {
    const auto found = body.find("max_tokens");
    if (found == body.end() || found->is_null()) {
      return kDefaultMaxOutputTokens;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0 ||
        found->get<std::uint64_t>() > kMaxOutputTokens) {
      RejectMalformed("max_tokens is not a number from 1 to 1048576");
    }
    return found->get<std::uint32_t>();
  }

  static std::uint64_t ReadPrefixHash(const nlohmann::json& body) {
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
      RejectMalformed("messages is missing or not a list with at least one message");
    }
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i + 1 < found->size(); ++i) {
      hash = StableHash((*found)[i].dump(), hash);
    }
    return hash;
  }

  // The hint is advice from the caller, so a malformed one is ignored.
  void ReadPlacementHint() {
    const std::string_view hint = Header("Wagtailwind-Placement-Hint");
    const std::size_t slash = hint.rfind('/');
    if (slash == std::string_view::npos || slash == 0) {
      return;
    }
    const auto incarnation = ParseNumber<std::uint64_t>(hint.substr(slash + 1));
    if (incarnation) {
      m_result.placement.hint = EndpointName(std::string(hint.substr(0, slash)));
      m_result.placement.hint_incarnation = *incarnation;
    }
  }

  void ReadService() {
    const std::string_view rest = std::string_view(m_request.path).substr(kServicePrefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const ServiceName name(std::string(rest.substr(0, slash)));
    const std::string path = slash == rest.size() ? "/" : std::string(rest.substr(slash));
    const records::Service* const service = FindByName(m_configuration.services, name);
    if (service == nullptr) {
      Reject(FailureReason::kUnknownService);
    }
    if (!IsUnambiguousPath(path)) {
      RejectMalformed("the path has dot segments or encoded separators");
    }
    rpc::ServiceCall call;
    call.service = name;
    call.method = m_request.method;
    call.path = m_request.query.empty() ? path : path + "?" + m_request.query;
    call.headers = ForwardedHeaders();
    call.body = m_request.body;
    call.repeatable = IsRepeatable(*service, call.method, path);
    m_result.repeatable = call.repeatable;
    m_result.placement.kind = gossip::EndpointKind::kService;
    m_result.placement.pool = name;
    if (!call.repeatable) {
      RequireRequestKey(name);
    }
    m_result.call.call = std::move(call);
  }

  void RequireRequestKey(const ServiceName& service) {
    const std::string& key = m_result.call.request_key;
    if (key.empty()) {
      Reject(FailureReason::kMissingRequestKey);
    }
    m_result.placement.partition_hash =
        requests::PartitionHash(service, requests::ClaimPartition(m_organisation->name, key));
  }

  [[nodiscard]] std::vector<http::Header> ForwardedHeaders() const {
    constexpr std::array<std::string_view, 12> kNotForwarded = {"Host",
                                                                "Content-Length",
                                                                "Transfer-Encoding",
                                                                "Connection",
                                                                "Keep-Alive",
                                                                "TE",
                                                                "Trailer",
                                                                "Upgrade",
                                                                "Expect",
                                                                "Proxy-Authorization",
                                                                "Proxy-Connection",
                                                                "Last-Event-ID"};
    std::vector<http::Header> headers;
    for (const http::Header& header : m_request.headers) {
      const bool is_own = StartsWithIgnoringCase(header.name, "Wagtailwind-");
      const bool is_excluded = std::any_of(
          kNotForwarded.begin(), kNotForwarded.end(),
          [&header](std::string_view name) { return http::SameName(header.name, name); });
      if (!is_own && !is_excluded) {
        headers.push_back(header);
      }
    }
    return headers;
  }

  const http::Request& m_request;
  const records::Configuration& m_configuration;
  const WallTime m_now;
  const records::Organisation* m_organisation = nullptr;
  ValidatedRequest m_result;
};

}  // namespace

std::optional<ResumePoint> ParseLastEventId(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos || !IsPrintable(text)) {
    return std::nullopt;
  }
  const std::string_view answer_id = text.substr(0, slash);
  const std::optional<requests::AnswerId> parsed = requests::ParseAnswerId(answer_id);
  const auto offset = ParseNumber<std::uint64_t>(text.substr(slash + 1));
  if (!parsed || !offset) {
    return std::nullopt;
  }
  return ResumePoint{parsed->endpoint, std::string(answer_id), *offset};
}

std::string PlacementHint(const EndpointName& endpoint, Incarnation incarnation) {
  return endpoint.value() + "/" + std::to_string(incarnation);
}

std::variant<ValidatedRequest, CallerError> ValidateRequest(
    const http::Request& request, const records::Configuration& configuration, WallTime now) {
  try {
    return Validator(request, configuration, now).Validate();
  } catch (const Rejected& rejected) {
    return rejected.error;
  }
}

}  // namespace wagtailwind::router
