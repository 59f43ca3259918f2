#include "forward/crash_report.h"

#include <nlohmann/json.hpp>

#include "core/json_fields.h"

namespace wagtailwind::forward {

namespace {

using nlohmann::json;

constexpr auto& kStringField = json_fields::StringField<MalformedCrashReport>;
constexpr auto& kUnsignedField = json_fields::UnsignedField<MalformedCrashReport>;
constexpr auto& kArrayField = json_fields::ArrayField<MalformedCrashReport>;

// Limits on what another router may have stored. Requests have a few shared parts.
constexpr std::size_t kMaxReportedPrompts = 64;
constexpr std::size_t kMaxReportedParts = 64;

}  // namespace

std::string CrashReportKey(const balancing::CrashReport& report, const InstanceName& router) {
  return report.endpoint.value() + "@" + std::to_string(report.incarnation) + "/" + router.value();
}

std::string EncodeCrashReport(const balancing::CrashReport& report) {
  json prompts = json::array();
  for (const balancing::SuspectPrompt& prompt : report.prompts) {
    json parts = json::array();
    for (const balancing::PromptPart part : prompt.parts) {
      parts.push_back(ToText(part));
    }
    prompts.push_back({{"request", prompt.request},
                       {"answering", prompt.answering},
                       {"parts", std::move(parts)}});
  }
  return json{{"endpoint", report.endpoint.value()},
              {"incarnation", report.incarnation},
              {"prompts", std::move(prompts)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

balancing::CrashReport DecodeCrashReport(std::string_view value) {
  const json document = json_fields::ParseJson<MalformedCrashReport>(value);
  balancing::CrashReport report;
  report.endpoint = EndpointName(kStringField(document, "endpoint"));
  report.incarnation = kUnsignedField(document, "incarnation");
  for (const json& object : kArrayField(document, "prompts")) {
    balancing::SuspectPrompt& prompt = report.prompts.emplace_back();
    prompt.request = kStringField(object, "request");
    prompt.answering = json_fields::OptionalBool<MalformedCrashReport>(object, "answering");
    for (const json& part : kArrayField(object, "parts")) {
      if (!part.is_string()) {
        throw MalformedCrashReport("a part is not a string");
      }
      prompt.parts.push_back(balancing::ParsePromptPart(part.get<std::string>()));
    }
    if (prompt.parts.size() > kMaxReportedParts || report.prompts.size() > kMaxReportedPrompts) {
      throw MalformedCrashReport("too many prompts or parts");
    }
  }
  return report;
}

}  // namespace wagtailwind::forward
