#include "stand_ins/generation.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "core/hash.h"

namespace wagtailwind::stand_ins {

namespace {

using nlohmann::json;

// Assumed number of bytes per token.
constexpr std::uint32_t kBytesPerToken = 4;

// The steady clock is the same for all processes of a machine, so a caller can compute the latency
// of an event.
std::int64_t SteadyNowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

json Usage(const Generation& generation) {
  const std::uint32_t prompt = generation.input.PromptTokens();
  return {{"prompt_tokens", prompt},
          {"completion_tokens", generation.tokens},
          {"total_tokens", prompt + generation.tokens},
          {"prompt_tokens_details", {{"cached_tokens", generation.cached_tokens}}}};
}

std::string FormatEvent(const json& data) { return "data: " + data.dump() + "\n\n"; }

json StreamChunk(const Generation& generation, const json& delta, const json& finish_reason) {
  return {{"id", generation.id},
          {"object", "chat.completion.chunk"},
          {"model", generation.input.model},
          {"produced_us", SteadyNowUs()},
          {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", finish_reason}}}}};
}

}  // namespace

GenerationInput ParseGenerationInput(const std::string& body, std::uint32_t default_tokens) {
  const json document = json::parse(body);
  GenerationInput input;
  input.model = document.at("model").get<std::string>();
  input.body_hash = absl::StrCat(absl::Hex(StableHash(body), absl::kZeroPad16));
  input.stream = document.value("stream", false);
  input.max_tokens = document.value("max_tokens", default_tokens);
  Prefix prefix;
  for (const json& message : document.at("messages")) {
    prefix = ExtendPrefix(prefix, message.at("role").get<std::string>(),
                          message.at("content").get<std::string>());
    input.prefixes.push_back(prefix);
  }
  return input;
}

Prefix ExtendPrefix(const Prefix& prompt, std::string_view role, std::string_view content) {
  const std::uint64_t hash = StableHash(content, StableHash(role, prompt.hash));
  return {hash, prompt.tokens + 1 + static_cast<std::uint32_t>(content.size()) / kBytesPerToken};
}

void AddToken(Generation& generation) {
  const std::string token =
      absl::StrCat(generation.tokens == 0 ? "" : " ", generation.input.body_hash, "/",
                   generation.id, "/", generation.tokens);
  ++generation.tokens;
  generation.text += token;
  if (generation.input.stream) {
    const std::string event = FormatEvent(StreamChunk(generation, {{"content", token}}, nullptr));
    generation.bytes += event;
    if (generation.duplicate_event) {
      generation.bytes += event;
      generation.duplicate_event = false;
    }
  }
}

void FinishAnswer(Generation& generation) {
  if (generation.input.stream) {
    json last = StreamChunk(generation, json::object(), "stop");
    last["usage"] = Usage(generation);
    generation.bytes += FormatEvent(last) + "data: [DONE]\n\n";
    return;
  }
  const json message = {{"role", "assistant"}, {"content", generation.text}};
  const json answer = {
      {"id", generation.id},
      {"object", "chat.completion"},
      {"model", generation.input.model},
      {"choices", {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
      {"usage", Usage(generation)}};
  generation.bytes = answer.dump();
}

std::string HistoryLine(const Generation& generation, std::string_view engine) {
  const json line = {{"engine", std::string(engine)},
                     {"id", generation.id},
                     {"request_id", generation.request_id},
                     {"key", generation.key},
                     {"body_hash", generation.input.body_hash},
                     {"model", generation.input.model},
                     {"rank", generation.rank},
                     {"received_ms", generation.received_ms},
                     {"start_ms", generation.start_ms},
                     {"end_ms", generation.end_ms},
                     {"prompt_tokens", generation.input.PromptTokens()},
                     {"cached_tokens", generation.cached_tokens},
                     {"tokens", generation.tokens},
                     {"ended", generation.ended},
                     {"cancelled", generation.cancelled}};
  return line.dump() + "\n";
}

}  // namespace wagtailwind::stand_ins
