#ifndef WAGTAILWIND_TESTS_SUPPORT_EVENT_STREAM_H_
#define WAGTAILWIND_TESTS_SUPPORT_EVENT_STREAM_H_

#include <string>
#include <string_view>
#include <vector>

namespace wagtailwind::testing {

/// \brief The parsed events of a streamed answer.
struct EventStream {
  /// Contents of the `delta` of each event, in order.
  std::vector<std::string> tokens;
  /// Value of the last `id:` field.
  std::string last_id;
  /// Whether `data: [DONE]` was received.
  bool done = false;
  /// Data of an `event: error`; empty if there was none.
  std::string error;
};

/// \brief Parses the events of a body. An event without its final blank line is ignored.
[[nodiscard]] EventStream ReadEvents(std::string_view body);

/// \brief Decodes the received part of the body of a raw HTTP response with chunked coding.
[[nodiscard]] std::string DecodeChunks(std::string_view raw);

/// \brief Whether a raw HTTP response with chunked coding includes its last chunk.
[[nodiscard]] bool HasLastChunk(std::string_view raw);

/// \brief Whether these are the tokens `first` to `last` - 1 of one generation of the engine
/// stand-in, which writes `<body hash>/<generation>/<number>`.
[[nodiscard]] bool AreTokensOfOneGeneration(const std::vector<std::string>& tokens,
                                            std::size_t first, std::size_t last);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_EVENT_STREAM_H_
