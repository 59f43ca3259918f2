// Header fields that only the router may set, as they arrive at an endpoint's socket.

#include <algorithm>
#include <cctype>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "net/tcp_stream.h"
#include "support/forwarder_fixture.h"
#include "support/raw_connection.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using testing::ForwarderFixture;
using testing::TestRoute;

/// An endpoint that records the bytes of its connections, without a parser that could hide some of
/// them. It does not answer.
class RawEndpoint {
 public:
  explicit RawEndpoint(net::EventLoop& loop)
      : m_listener(loop, "127.0.0.1:0", [this, &loop](uv_stream_t* listener) {
          m_streams.push_back(std::make_unique<Stream>(loop, bytes, listener));
        }) {}

  [[nodiscard]] std::string Address() const { return m_listener.Address(); }

  std::string bytes;

 private:
  struct Stream final : net::StreamHandler {
    Stream(net::EventLoop& loop, std::string& all_bytes, uv_stream_t* listener)
        : received(all_bytes), stream(loop, *this) {
      stream.Accept(listener);
      stream.StartReading();
    }
    void OnData(std::string_view data) override { received.append(data); }
    void OnEnd() override {}
    void OnError(std::string_view /*error*/) override {}

    std::string& received;
    net::TcpStream stream;
  };

  std::list<std::unique_ptr<Stream>> m_streams;
  net::TcpListener m_listener;
};

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  return text;
}

/// Returns the values of a field, as a lenient endpoint could read them: any CR or LF ends a line,
/// and white space and control bytes around a name count for nothing.
std::vector<std::string> LenientValues(const std::string& bytes, const std::string& name) {
  std::vector<std::string> values;
  std::size_t begin = 0;
  while (begin < bytes.size()) {
    const std::size_t end = std::min(bytes.find_first_of("\r\n", begin), bytes.size());
    const std::string line = bytes.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string found = line.substr(0, colon);
      std::erase_if(found, [](unsigned char character) { return character <= ' '; });
      if (LowerCase(found) == LowerCase(name)) {
        values.push_back(line.substr(colon + 1));
      }
    }
    begin = end + 1;
  }
  return values;
}

/// Returns the bytes that reach an endpoint for a request with these header lines and body.
std::string BytesAtEndpoint(const std::string& lines, const std::string& body) {
  ForwarderFixture fleet;
  RawEndpoint endpoint(fleet.loop);
  fleet.store.Put("endpoint/e1", "engine " + endpoint.Address() + " ready 1");
  fleet.Configure(TestRoute(RequestKind::kNonIdempotent));
  fleet.Start();
  const testing::RawConnection caller(fleet.forwarder->CallerAddress());
  caller.Write("POST /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt: a1\r\nSecret: key-1\r\n" + lines +
               "\r\n" + body);
  fleet.loop.RunFor(60ms);
  return endpoint.bytes;
}

}  // namespace

// Guards against a caller that sets a field which endpoints take for the router's, by any spelling
// that one of both parsers might read as that field.
Test(forward_reserved_fields, of_callers_do_not_reach_endpoints, .timeout = 60) {
  const std::string nul(1, '\0');
  for (const std::string name :
       {"Organisation", "Wait", "Only", "Urgency", "Fetch", "Reserved", "Secret"}) {
    const std::string forged = name + ": forged\r\n";
    const std::string empty = "Content-Length: 0\r\n";
    struct Case {
      std::string lines;
      std::string body;
    };
    const std::vector<Case> cases = {
        {absl::StrCat(empty, forged), ""},
        {absl::StrCat(empty, LowerCase(forged)), ""},
        {absl::StrCat(empty, forged, forged, LowerCase(forged)), ""},
        {absl::StrCat(empty, "Connection: ", name, "\r\n", forged), ""},
        {absl::StrCat(empty, forged, "Connection: close, ", LowerCase(name), "\r\n"), ""},
        {absl::StrCat("Transfer-Encoding: chunked\r\nTrailer: ", name, "\r\n"),
         absl::StrCat("1\r\nx\r\n0\r\n", forged, "\r\n")},
        {absl::StrCat(empty, "Other: a\r\n ", forged), ""},
        {absl::StrCat(empty, "Other: a\r\n\t", forged), ""},
        {absl::StrCat(empty, name, ":\r\n forged\r\n"), ""},
        {absl::StrCat(empty, name, " : forged\r\n"), ""},
        {absl::StrCat(empty, name, "\t: forged\r\n"), ""},
        {absl::StrCat(empty, " ", forged), ""},
        {absl::StrCat(empty, "\x01", forged), ""},
        {absl::StrCat(empty, nul, forged), ""},
        {absl::StrCat(empty, name, nul, ": forged\r\n"), ""},
        {absl::StrCat(empty, "Other: a\r", forged), ""},
        {absl::StrCat(empty, "Other: a\n", forged), ""},
        {absl::StrCat(empty, "Other: a", nul, "\n", forged), ""},
        {absl::StrCat(empty, "Other: a\x0b", forged), ""},
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
      const std::string bytes = BytesAtEndpoint(cases[i].lines, cases[i].body);
      const std::vector<std::string> values = LenientValues(bytes, name);
      const bool is_forged = std::any_of(
          values.begin(), values.end(),
          [](const std::string& value) { return value.find("forged") != std::string::npos; });
      cr_expect_not(is_forged, "%s, case %zu", name.c_str(), i);
    }
  }
}

// Guards against a caller that removes a field of the router by naming it in `Connection`.
Test(forward_reserved_fields, of_the_router_are_sent_whatever_connection_names, .timeout = 30) {
  for (const std::string lines :
       {"", "Connection: Wait, Only, Organisation\r\n", "Connection: close\r\nConnection: WAIT\r\n",
        "Wait: 100\r\nOnly: e9\r\nOrganisation: x\r\nConnection: wait, only\r\n"}) {
    const std::string bytes = BytesAtEndpoint("Content-Length: 0\r\n" + lines, "");
    cr_expect_eq(LenientValues(bytes, "Wait").size(), 1, "%s", lines.c_str());
    cr_expect(LenientValues(bytes, "Only") == std::vector<std::string>{" e1"}, "%s", lines.c_str());
    cr_expect(LenientValues(bytes, "Organisation") == std::vector<std::string>{" first"}, "%s",
              lines.c_str());
    cr_expect(LenientValues(bytes, "Secret").empty(), "%s", lines.c_str());
  }
}

// Guards against passing bytes on that end a line or a text for some readers: requests with such a
// value must be refused, in a field that the router knows and in another one.
Test(forward_reserved_fields, with_control_bytes_in_values_are_refused, .timeout = 30) {
  for (const std::string& byte : {std::string("\r"), std::string(1, '\0'), std::string("\x01"),
                                  std::string("\x0b"), std::string("\x7f")}) {
    for (const std::string name : {"Other", "Parts"}) {
      const std::string bytes =
          BytesAtEndpoint(absl::StrCat("Content-Length: 0\r\n", name, ": a", byte, "b\r\n"), "");
      cr_expect(bytes.empty(), "%s: byte %d", name.c_str(), byte[0]);
    }
  }
  cr_expect_not(BytesAtEndpoint("Content-Length: 0\r\nOther: a\tb \xe9\r\n", "").empty(),
                "a tab and bytes above the ASCII range are allowed");
}
