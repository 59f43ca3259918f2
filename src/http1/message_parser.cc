#include "http1/message_parser.h"

#include <algorithm>
#include <utility>

namespace wagtailwind::http1 {

namespace {

MessageParser& Self(http_parser* parser) { return *static_cast<MessageParser*>(parser->data); }

constexpr int kStopParsing = -1;

// A bare carriage return or a NUL in a value could make the next parser end the field early.
bool IsValidHeaderValue(std::string_view value) {
  return value.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

// The library accepts white space in names, also before the colon. The next reader may drop it and
// find another field than the one that was checked here.
bool IsValidHeaderName(std::string_view name) {
  constexpr std::string_view kTokenCharacters =
      "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
  return !name.empty() && name.find_first_not_of(kTokenCharacters) == std::string_view::npos;
}

/// Whether the transfer coding can be read in one way only: none, or `chunked` once.
bool IsValidTransferEncoding(const std::vector<http::Header>& headers) {
  int count = 0;
  return std::all_of(headers.begin(), headers.end(), [&count](const http::Header& header) {
    return !http::SameName(header.name, "Transfer-Encoding") ||
           (++count == 1 && http::SameName(header.value, "chunked"));
  });
}

}  // namespace

MessageParser::MessageParser(Kind kind, MessageHandler& handler, std::size_t max_head_bytes)
    : m_kind(kind), m_handler(handler), m_max_head_bytes(max_head_bytes) {
  Restart();
}

const http_parser_settings& MessageParser::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = [](http_parser* parser, const char* at, std::size_t length) {
      Self(parser).m_head.target.append(at, length);
      return 0;
    };
    callbacks.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
      Self(parser).AddHeaderField({at, length});
      return 0;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
      MessageParser& self = Self(parser);
      // Fields after the body are trailers, which are not forwarded.
      if (!self.m_head_complete) {
        self.m_head.headers.back().value.append(at, length);
      }
      self.m_last_was_value = true;
      return 0;
    };
    callbacks.on_headers_complete = [](http_parser* parser) { return Self(parser).FinishHead(); };
    callbacks.on_body = [](http_parser* parser, const char* at, std::size_t length) {
      Self(parser).m_handler.OnBody({at, length});
      return 0;
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      MessageParser& self = Self(parser);
      self.m_state = State::kMessageComplete;
      self.m_handler.OnMessageComplete();
      http_parser_pause(parser, 1);
      return 0;
    };
    return callbacks;
  }();
  return settings;
}

void MessageParser::Restart() {
  http_parser_init(&m_parser, m_kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_head = {};
  m_head_bytes = 0;
  m_head_complete = false;
  m_last_was_value = true;
  m_state = State::kReading;
}

void MessageParser::AddHeaderField(std::string_view part) {
  if (m_head_complete) {
    return;
  }
  if (m_last_was_value) {
    m_head.headers.emplace_back();
    m_last_was_value = false;
  }
  m_head.headers.back().name.append(part);
}

int MessageParser::FinishHead() {
  const auto is_valid_field = [](const http::Header& header) {
    return IsValidHeaderName(header.name) && IsValidHeaderValue(header.value);
  };
  if (!std::all_of(m_head.headers.begin(), m_head.headers.end(), is_valid_field) ||
      !IsValidTransferEncoding(m_head.headers)) {
    return kStopParsing;
  }
  m_head_complete = true;
  if (m_kind == Kind::kRequest) {
    m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
  } else {
    m_head.status = static_cast<int>(m_parser.status_code);
  }
  m_head.chunked = (m_parser.flags & F_CHUNKED) != 0;
  if ((m_parser.flags & F_CONTENTLENGTH) != 0) {
    m_head.content_length = m_parser.content_length;
  }
  m_head.keep_alive = http_should_keep_alive(&m_parser) != 0;
  m_head.http_1_1 = m_parser.http_major == 1 && m_parser.http_minor >= 1;
  return m_handler.OnHead(std::move(m_head)) ? 0 : 1;
}

std::size_t MessageParser::Feed(std::string_view data) {
  if (m_state != State::kReading || data.empty()) {
    return 0;
  }
  const bool in_head = !m_head_complete;
  const std::size_t used = http_parser_execute(&m_parser, &Callbacks(), data.data(), data.size());
  if (in_head) {
    m_head_bytes += m_head_complete ? 0 : used;
    m_head_bytes = std::max<std::size_t>(m_head_bytes, 1);
    if (!m_head_complete && m_head_bytes > m_max_head_bytes) {
      m_state = State::kHeadTooLarge;
      return used;
    }
  }
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (m_state == State::kReading && error != HPE_OK) {
    m_state = error == HPE_HEADER_OVERFLOW ? State::kHeadTooLarge : State::kMalformed;
  }
  return used;
}

void MessageParser::FeedEnd() {
  if (m_state == State::kReading) {
    http_parser_execute(&m_parser, &Callbacks(), nullptr, 0);
    if (m_state == State::kReading && HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
      m_state = State::kMalformed;
    }
  }
}

std::string_view MessageParser::Error() const noexcept {
  return m_state == State::kHeadTooLarge ? "head too large"
                                         : http_errno_description(HTTP_PARSER_ERRNO(&m_parser));
}

}  // namespace wagtailwind::http1
