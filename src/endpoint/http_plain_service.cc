#include "endpoint/http_plain_service.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "endpoint/log_events.h"

namespace wagtailwind::endpoint {

namespace {

// Hop-by-hop header fields (RFC 9110, section 7.6.1), and fields that libcurl writes itself.
constexpr std::array<absl::string_view, 11> kHopByHopHeaders = {"connection",
                                                                "keep-alive",
                                                                "proxy-authenticate",
                                                                "proxy-authorization",
                                                                "proxy-connection",
                                                                "te",
                                                                "trailer",
                                                                "transfer-encoding",
                                                                "upgrade",
                                                                "host",
                                                                "content-length"};

bool IsHopByHopHeader(const std::string& name) {
  return absl::EqualsIgnoreCase(name, "expect") ||
         std::any_of(
             kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
             [&name](absl::string_view other) { return absl::EqualsIgnoreCase(name, other); });
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return !absl::ascii_iscntrl(static_cast<unsigned char>(letter)) || letter == '\t';
  });
}

bool IsRequestTarget(std::string_view path) {
  return !path.empty() && path.front() == '/' && IsPrintable(path) &&
         path.find_first_of(" \t#") == std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
    return absl::ascii_isgraph(static_cast<unsigned char>(letter)) && letter != ':' &&
           letter != ';';
  });
}

/// Returns whether a call can be written as HTTP without one field extending into another.
bool IsSendable(const ServiceCall& call) {
  return IsToken(call.method) && IsRequestTarget(call.path) &&
         std::all_of(call.headers.begin(), call.headers.end(), [](const http::Header& header) {
           return IsToken(header.name) && IsPrintable(header.value);
         });
}

std::vector<http::Header> EndToEndHeaders(const std::vector<http::Header>& headers) {
  std::vector<http::Header> kept;
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
               [](const http::Header& header) { return !IsHopByHopHeader(header.name); });
  return kept;
}

class AnswerCollector final : public TransferReceiver {
 public:
  explicit AnswerCollector(std::function<void(ServiceAnswer)> done) : m_done(std::move(done)) {}

  void OnHead(int status, const std::vector<http::Header>& headers) override {
    m_answer.status = status;
    m_answer.headers = EndToEndHeaders(headers);
  }

  void OnBody(std::string_view data) override { m_answer.body.append(data); }

  void OnEnd(TransferEnd end) override {
    m_answer.end = end;
    m_done(std::move(m_answer));
  }

 private:
  std::function<void(ServiceAnswer)> m_done;
  ServiceAnswer m_answer;
};

}  // namespace

HttpPlainService::HttpPlainService(std::string address, TransferLoop& loop,
                                   std::size_t max_answer_bytes)
    : m_address(std::move(address)), m_loop(loop), m_max_answer_bytes(max_answer_bytes) {}

void HttpPlainService::Send(ServiceCall call, std::function<void(ServiceAnswer)> done) {
  if (!IsSendable(call)) {
    Log(kCallNotSendable, {{"address", m_address}});
    ServiceAnswer refused;
    refused.is_sendable = false;
    done(std::move(refused));
    return;
  }
  TransferRequest request;
  request.method = std::move(call.method);
  request.address = m_address;
  request.target = std::move(call.path);
  request.headers = EndToEndHeaders(call.headers);
  request.body = std::move(call.body);
  request.timeout = call.timeout;
  request.max_answer_bytes = m_max_answer_bytes;
  (void)m_loop.Start(std::move(request), std::make_shared<AnswerCollector>(std::move(done)));
}

}  // namespace wagtailwind::endpoint
