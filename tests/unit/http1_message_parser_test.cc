#include <string>
#include <vector>

#include "http1/message_parser.h"

// Included last, since its macros break Abseil's headers.
#include <criterion/criterion.h>

namespace {

using wagtailwind::http1::MessageHandler;
using wagtailwind::http1::MessageHead;
using wagtailwind::http1::MessageParser;

struct Collector final : MessageHandler {
  [[nodiscard]] bool OnHead(MessageHead message) override {
    head = std::move(message);
    return true;
  }
  void OnBody(std::string_view part) override { body.append(part); }
  void OnMessageComplete() override { ++messages; }

  MessageHead head;
  std::string body;
  int messages = 0;
};

MessageParser::State ParseRequest(std::string_view text, std::size_t max_head = 4096) {
  Collector collector;
  MessageParser parser(MessageParser::Kind::kRequest, collector, max_head);
  parser.Feed(text);
  return parser.state();
}

}  // namespace

// Guards against request smuggling: a message with both a length and chunks, or with two lengths,
// is ambiguous, so part of its body could be parsed as another request.
Test(message_parser, refuses_bodies_whose_length_can_be_read_in_two_ways) {
  cr_assert_eq(ParseRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
               MessageParser::State::kMalformed);
  cr_assert_eq(ParseRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                            "Content-Length: 5\r\n\r\nabcd"),
               MessageParser::State::kMalformed);
  cr_assert_eq(ParseRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd"),
               MessageParser::State::kMalformed);
}

// Guards against fields that pass the filters by a name that the next reader takes for another one,
// such as one that only the router may set.
Test(message_parser, refuses_names_that_are_no_tokens) {
  for (const char* field :
       {"Name : x", "Name\t: x", "Transfer-Encoding : chunked", " Name: x", "Na me: x", ": x",
        "Na\x01me: x", "Name\xa0: x", "(Name): x", "Name,Other: x"}) {
    const std::string text =
        "GET / HTTP/1.1\r\nHost: h\r\nFirst: x\r\n" + std::string(field) + "\r\n\r\n";
    // A line that begins with white space continues the value before it, as a folded one.
    const bool is_folded = field[0] == ' ';
    cr_expect_eq(
        ParseRequest(text),
        is_folded ? MessageParser::State::kMessageComplete : MessageParser::State::kMalformed, "%s",
        field);
  }
}

// Guards against a body whose end another reader finds elsewhere, because it knows another transfer
// coding or heeds another one of two fields.
Test(message_parser, refuses_transfer_codings_but_chunked_once) {
  const auto with = [](const std::string& fields) {
    return ParseRequest("POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n0\r\n\r\n");
  };
  cr_assert_eq(with("Transfer-Encoding: Chunked\r\n"), MessageParser::State::kMessageComplete);
  for (const char* fields :
       {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n"}) {
    cr_expect_eq(with(fields), MessageParser::State::kMalformed, "%s", fields);
  }
}

// Guards against a caller that exhausts memory with an endless head.
Test(message_parser, stops_at_the_limit_of_the_head) {
  const std::string head = "GET / HTTP/1.1\r\nLong: " + std::string(5000, 'x');
  cr_assert_eq(ParseRequest(head, 4096), MessageParser::State::kHeadTooLarge);
  cr_assert_eq(ParseRequest("GET / HTTP/1.1\r\nShort: x\r\n\r\n", 4096),
               MessageParser::State::kMessageComplete);
}

// Guards against parsing the next request as part of the current one.
Test(message_parser, stops_behind_each_message) {
  Collector collector;
  MessageParser parser(MessageParser::Kind::kRequest, collector, 4096);
  const std::string text =
      "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n";
  const std::size_t used = parser.Feed(text);
  cr_assert_eq(parser.state(), MessageParser::State::kMessageComplete);
  cr_assert_eq(collector.body, std::string("abc"));
  cr_assert_eq(text.substr(used, 6), std::string("GET /b"));
  parser.Restart();
  parser.Feed(std::string_view(text).substr(used));
  cr_assert_eq(collector.messages, 2);
  cr_assert_eq(collector.head.target, std::string("/b"));
}

// Guards against bytes lost at a boundary between reads, and against trailers parsed as headers.
Test(message_parser, reads_chunked_messages_byte_by_byte) {
  Collector collector;
  MessageParser parser(MessageParser::Kind::kResponse, collector, 4096);
  const std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\nSigned: forged\r\n\r\n";
  for (const char byte : text) {
    parser.Feed({&byte, 1});
  }
  cr_assert_eq(parser.state(), MessageParser::State::kMessageComplete);
  cr_assert_eq(collector.body, std::string("abcde"));
  cr_assert(collector.head.chunked);
  cr_assert_eq(collector.head.headers.size(), 2);
}

// Guards against completing a body without a length before its connection has ended.
Test(message_parser, completes_a_body_without_length_only_at_the_end_of_the_connection) {
  Collector collector;
  MessageParser parser(MessageParser::Kind::kResponse, collector, 4096);
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  cr_assert_eq(parser.state(), MessageParser::State::kReading);
  parser.FeedEnd();
  cr_assert_eq(parser.state(), MessageParser::State::kMessageComplete);
}
