#ifndef WAGTAILWIND_TESTS_SUPPORT_EVENT_STREAM_H_
#define WAGTAILWIND_TESTS_SUPPORT_EVENT_STREAM_H_

#include <string>
#include <string_view>
#include <vector>

namespace wagtailwind::testing {

/// \brief What a caller has read of a streamed answer.
struct EventStream {
  /// Contents of the `delta` of each event, in order.
  std::vector<std::string> tokens;
  /// Value of the last `id:` field.
  std::string last_id;
  /// The stream ended with `data: [DONE]`.
  bool done = false;
  /// Data of an `event: error`; empty if there was none.
  std::string error;
};

/// \brief Reads the events of a body; an event without its blank line is left out.
[[nodiscard]] EventStream ReadEvents(std::string_view body);

/// \brief The body of a raw HTTP answer with chunked coding, as far as it has come.
[[nodiscard]] std::string DecodeChunks(std::string_view raw);

/// \brief Whether a raw HTTP answer with chunked coding has come to its last chunk.
[[nodiscard]] bool HasLastChunk(std::string_view raw);

/// \brief Whether these are the tokens `first` to `last` - 1 of one generation of the engine
/// stand-in, which writes `<body hash>/<generation>/<number>`.
[[nodiscard]] bool AreTokensOfOneGeneration(const std::vector<std::string>& tokens,
                                            std::size_t first, std::size_t last);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_EVENT_STREAM_H_
