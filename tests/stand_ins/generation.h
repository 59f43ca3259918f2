#ifndef WAGTAILWIND_TESTS_STAND_INS_GENERATION_H_
#define WAGTAILWIND_TESTS_STAND_INS_GENERATION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "stand_ins/prefix_cache.h"

namespace wagtailwind::stand_ins {

/// \brief A parsed request of the engine stand-in.
struct GenerationInput {
  std::string model;
  /// Hash of the whole body in hexadecimal; each token of the answer contains it.
  std::string body_hash;
  bool stream = false;
  std::uint32_t max_tokens = 0;
  /// All prefixes of the conversation in order of length. The last one is the whole prompt.
  std::vector<Prefix> prefixes;

  [[nodiscard]] std::uint32_t PromptTokens() const {
    return prefixes.empty() ? 0 : prefixes.back().tokens;
  }
};

/// \brief Parses a body; throws nlohmann::json::exception if it is malformed.
[[nodiscard]] GenerationInput ParseGenerationInput(const std::string& body,
                                                   std::uint32_t default_tokens);

/// \brief Returns the prefix that results from appending a message to `prompt`.
[[nodiscard]] Prefix ExtendPrefix(const Prefix& prompt, std::string_view role,
                                  std::string_view content);

/// \brief One generation. Guarded by the engine's mutex.
struct Generation {
  /// `<incarnation>.<number>`; each token of the answer contains it.
  std::string id;
  std::string request_id;
  std::string key;
  std::uint32_t rank = 0;
  GenerationInput input;
  std::uint32_t cached_tokens = 0;
  std::uint32_t tokens = 0;
  /// Text generated so far.
  std::string text;
  /// Bytes of the answer's HTTP body produced so far.
  std::string bytes;
  std::int64_t received_ms = 0;
  std::int64_t start_ms = 0;
  std::int64_t end_ms = 0;
  bool started = false;
  bool cancelled = false;
  bool ended = false;
  bool duplicate_event = false;
};

/// \brief Appends the next token.
void AddToken(Generation& generation);

/// \brief Appends the end of the answer: the last events of a stream, or the whole JSON answer.
void FinishAnswer(Generation& generation);

/// \brief Formats one line of the history as JSON.
[[nodiscard]] std::string HistoryLine(const Generation& generation, std::string_view engine);

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_GENERATION_H_
