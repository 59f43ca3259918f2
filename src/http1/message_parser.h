#ifndef WAGTAILWIND_HTTP1_MESSAGE_PARSER_H_
#define WAGTAILWIND_HTTP1_MESSAGE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"

namespace wagtailwind::http1 {

/// \brief Start line and header fields of a message.
struct MessageHead {
  /// Requests only.
  std::string method;
  /// Requests only: the target as it was sent.
  std::string target;
  /// Responses only.
  int status = 0;
  std::vector<http::Header> headers;
  std::optional<std::uint64_t> content_length;
  bool chunked = false;
  /// Whether the connection may carry another message.
  bool keep_alive = false;
  /// HTTP/1.0 peers can't read chunks.
  bool http_1_1 = true;
};

/// \brief Receives a message in parts.
class MessageHandler {
 public:
  virtual ~MessageHandler() = default;

  /// \brief The head is complete; false if no body follows whatever the head says.
  [[nodiscard]] virtual bool OnHead(MessageHead head) = 0;

  virtual void OnBody(std::string_view part) = 0;

  /// \brief The message is complete. The parser stops behind it.
  virtual void OnMessageComplete() = 0;
};

/// \brief Incremental parser of HTTP/1.1 messages. Messages whose length can be read in two ways
/// are errors, so that no request hides inside another one.
class MessageParser {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };
  enum class State : std::uint8_t { kReading, kMessageComplete, kHeadTooLarge, kMalformed };

  /// \brief `handler` outlives the parser and must not destroy it in an event; a head above
  /// `max_head_bytes` is an error.
  MessageParser(Kind kind, MessageHandler& handler, std::size_t max_head_bytes);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// \brief Parses up to the end of the current message; returns the bytes that were used.
  std::size_t Feed(std::string_view data);

  /// \brief The peer has closed its side: completes a message that ends with its connection.
  void FeedEnd();

  /// \brief Prepares for the next message of the connection.
  void Restart();

  [[nodiscard]] State state() const noexcept { return m_state; }

  /// \brief Whether a part of a message has been read.
  [[nodiscard]] bool InMessage() const noexcept { return m_head_bytes > 0; }

  /// \brief What is wrong with a malformed message; for logs.
  [[nodiscard]] std::string_view Error() const noexcept;

 private:
  static const http_parser_settings& Callbacks();
  void AddHeaderField(std::string_view part);
  [[nodiscard]] int FinishHead();

  http_parser m_parser{};
  Kind m_kind;
  MessageHandler& m_handler;
  std::size_t m_max_head_bytes;
  std::size_t m_head_bytes = 0;
  bool m_head_done = false;
  bool m_last_was_value = true;
  MessageHead m_head;
  State m_state = State::kReading;
};

}  // namespace wagtailwind::http1

#endif  // WAGTAILWIND_HTTP1_MESSAGE_PARSER_H_
