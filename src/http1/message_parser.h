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
  /// False for HTTP/1.0 peers, which can't read chunked bodies.
  bool http_1_1 = true;
};

/// \brief Receives the parts of a message as they are parsed.
class MessageHandler {
 public:
  virtual ~MessageHandler() = default;

  /// \brief The head is complete. Returns false if no body follows, regardless of the head.
  [[nodiscard]] virtual bool OnHead(MessageHead head) = 0;

  virtual void OnBody(std::string_view part) = 0;

  /// \brief The message is complete. The parser stops after it.
  virtual void OnMessageComplete() = 0;
};

/// \brief Incremental parser of HTTP/1.1 messages. Rejects messages with an ambiguous length to
/// prevent request smuggling.
class MessageParser {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };
  enum class State : std::uint8_t { kReading, kMessageComplete, kHeadTooLarge, kMalformed };

  /// \brief `handler` must outlive the parser and must not destroy it in an event. A head larger
  /// than `max_head_bytes` is an error.
  MessageParser(Kind kind, MessageHandler& handler, std::size_t max_head_bytes);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// \brief Parses up to the end of the current message and returns the number of bytes consumed.
  std::size_t Feed(std::string_view data);

  /// \brief Handles the end of the peer's data: completes a message whose body is delimited by the
  /// end of the connection.
  void FeedEnd();

  /// \brief Resets the parser for the next message of the connection.
  void Restart();

  [[nodiscard]] State state() const noexcept { return m_state; }

  /// \brief Whether any byte of the current message has been read.
  [[nodiscard]] bool InMessage() const noexcept { return m_head_bytes > 0; }

  /// \brief Returns a description of the error in a malformed message, for logs.
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
  bool m_head_complete = false;
  bool m_last_was_value = true;
  MessageHead m_head;
  State m_state = State::kReading;
};

}  // namespace wagtailwind::http1

#endif  // WAGTAILWIND_HTTP1_MESSAGE_PARSER_H_
