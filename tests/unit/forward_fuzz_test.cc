#include <string>
#include <vector>

#include "balancing/endpoint_ranking.h"
#include "core/random_source.h"
#include "forward/deployment_adapter.h"
#include "forward/event_framer.h"
#include "forward/header_rules.h"
#include "http1/message_parser.h"
#include "platform/record_decoder.h"
#include "platform/store_codec.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using wagtailwind::SeededRandomSource;
namespace balancing = wagtailwind::balancing;
namespace forward = wagtailwind::forward;
namespace http1 = wagtailwind::http1;
namespace adapter = wagtailwind::adapter;

constexpr int kInputs = 4'000;

/// Returns a random sample with some bytes changed, removed, repeated or replaced by parts of
/// another sample.
std::string Mutated(const std::vector<std::string>& samples, SeededRandomSource& random) {
  std::string text = samples[random.NextBelow(samples.size())];
  const std::uint64_t changes = random.NextBelow(6);
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random.NextBelow(text.size());
    switch (random.NextBelow(4)) {
      case 0:
        text[at] = static_cast<char>(random.NextBelow(256));
        break;
      case 1:
        text.erase(at, 1 + random.NextBelow(8));
        break;
      case 2:
        text.insert(at, text.substr(at, random.NextBelow(20)));
        break;
      default:
        text.insert(at, samples[random.NextBelow(samples.size())].substr(0, random.NextBelow(30)));
    }
  }
  return text;
}

struct BoundedBody final : http1::MessageHandler {
  [[nodiscard]] bool OnHead(http1::MessageHead head) override {
    ++heads;
    for (const auto& header : head.headers) {
      clean = clean && header.value.find_first_of("\r\n") == std::string::npos;
    }
    return true;
  }
  void OnBody(std::string_view part) override { body += part.size(); }
  void OnMessageComplete() override {}

  int heads = 0;
  std::size_t body = 0;
  bool clean = true;
};

}  // namespace

// Guards against crashes, endless loops, and header values that would split a forwarded message, on
// malformed input from callers and endpoints.
Test(forward_fuzz, message_parser_survives_hostile_bytes) {
  const std::vector<std::string> samples = {
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      "GET /b?q HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nrest"};
  SeededRandomSource random(11);
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = Mutated(samples, random);
    for (const auto kind :
         {http1::MessageParser::Kind::kRequest, http1::MessageParser::Kind::kResponse}) {
      BoundedBody handler;
      http1::MessageParser parser(kind, handler, 4096);
      std::size_t at = 0;
      while (at < text.size() && parser.state() == http1::MessageParser::State::kReading) {
        const std::size_t part = 1 + random.NextBelow(text.size());
        at += parser.Feed(std::string_view(text).substr(at, part));
      }
      parser.FeedEnd();
      cr_assert(handler.clean);
      cr_assert_leq(handler.body, text.size());
      cr_assert_leq(handler.heads, 1);
    }
  }
}

// Guards against losing or adding bytes in event streams.
Test(forward_fuzz, event_framer_keeps_every_byte) {
  const std::vector<std::string> samples = {"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n",
                                            "\n\n\n", "data: x\n\r\n", ": comment\n\n"};
  SeededRandomSource random(12);
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = Mutated(samples, random) + Mutated(samples, random);
    forward::EventFramer framer;
    std::string seen;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t part = 1 + random.NextBelow(7);
      cr_assert(framer.Feed(std::string_view(text).substr(at, part),
                            [&seen](std::string_view event, auto) { seen.append(event); }));
      at += part;
    }
    cr_assert_eq(seen + std::string(framer.Rest()), text);
  }
}

// Guards against crashes, and against exceptions of other types than documented, on malformed
// values in the key-value service.
Test(forward_fuzz, decoders_survive_hostile_records) {
  const std::vector<std::string> samples = {
      R"({"Service":"s","Addr":"10.0.0.1:1","Zone":"z","Version":"v","Slots":3,"State":"ready",)"
      R"("ColdLeftMs":0,"Models":[{"Name":"m"}],"Seq":1,"born":17})",
      R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/a/","Kind":"stream",)"
      R"("TimeoutMs":1,"Split":[{"Service":"s","Weight":9}]}],"Services":[{"Name":"s"}],)"
      R"("Limits":{"MaxBodyBytes":2},"Tenants":[{"Name":"t","ApiKeys":["k"],"Prio":1}]})",
      R"({"Items":[{"Key":"k","Value":"bm8=","Rev":5}],"HasMore":false,"StoreRevision":9})",
      R"({"events":[{"Key":"k","Rev":6,"Deleted":true}],"StoreRevision":10})"};
  const adapter::StoreCodec codec;
  SeededRandomSource random(13);
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = Mutated(samples, random);
    try {
      (void)adapter::DecodeEndpoint("e", text);
    } catch (const forward::MalformedEndpointEntry&) {
    }
    try {
      (void)adapter::DecodeConfiguration(text);
    } catch (const forward::MalformedConfiguration&) {
    }
    for (const bool is_range : {true, false}) {
      try {
        is_range ? (void)codec.DecodeRange(text) : (void)codec.DecodeWatch(text);
      } catch (const wagtailwind::platform::MalformedKeyValueAnswer&) {
      }
    }
  }
}

// Guards against crashes on malformed header fields from callers and endpoints.
Test(forward_fuzz, field_parsers_survive_hostile_values) {
  const std::vector<std::string> samples = {"5c1e07a2:800,91bd3f06:410,e4402b7d:250",
                                            "timeout=5, max=100", "3,1,8", "15000", "close, X-Hop"};
  SeededRandomSource random(14);
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = Mutated(samples, random);
    (void)balancing::ParsePrompt(text);
    (void)forward::ParseLoad(text);
    (void)forward::KeepAliveTimeout(text);
    (void)forward::ParseMilliseconds(text);
    (void)forward::EndToEndHeaders({{"Connection", text}, {text, "x"}});
  }
}
