#include "endpoint/easy_transfer.h"

#include <curl/curl.h>

#include <string_view>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "core/mutant.h"
#include "endpoint/log_events.h"

namespace wagtailwind::endpoint::detail {

namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{64} << 10U;
constexpr int kFirstFinalStatus = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

}  // namespace

EasyTransfer::EasyTransfer(TransferRequest request, std::shared_ptr<TransferReceiver> receiver)
    : m_request(std::move(request)), m_receiver(std::move(receiver)), m_easy(curl_easy_init()) {
  Configure();
}

EasyTransfer::~EasyTransfer() {
  curl_easy_cleanup(m_easy);
  curl_slist_free_all(static_cast<curl_slist*>(m_header_list));
}

void EasyTransfer::Configure() {
  const std::string url = "http://" + m_request.address + m_request.target;
  curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
  curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
  curl_easy_setopt(m_easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.timeout.count()));
  curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &EasyTransfer::OnHeaderLine);
  curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &EasyTransfer::OnBodyBytes);
  curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
  if (m_request.method == "HEAD") {
    curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
  } else if (!m_request.body.empty() || m_request.method != "GET") {
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_request.body.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_request.body.c_str());
  }
  if (!IsMutantEnabled("once_only_calls_reuse_connections")) {
    // On a reused connection, a late copy of an earlier answer would be taken for the answer to
    // this request, and libcurl resends a request when the connection closes without an answer,
    // although the endpoint may have run it.
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
  }
  ConfigureHeaders();
}

void EasyTransfer::ConfigureHeaders() {
  // Removes the `Expect: 100-continue` of libcurl, which would cost a round trip.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  if (http::FindHeader(m_request.headers, "Content-Type").empty()) {
    list = curl_slist_append(list, "Content-Type:");
  }
  for (const http::Header& header : m_request.headers) {
    // libcurl drops a header without value unless it ends with a semicolon.
    const std::string line =
        header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  m_header_list = list;
  curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, list);
}

std::size_t EasyTransfer::OnHeaderLine(char* data, std::size_t size, std::size_t count,
                                       void* closure) {
  const std::string_view line(data, size * count);
  return static_cast<EasyTransfer*>(closure)->ReadHeaderLine(line) ? line.size() : 0;
}

std::size_t EasyTransfer::OnBodyBytes(char* data, std::size_t size, std::size_t count,
                                      void* closure) {
  const std::string_view bytes(data, size * count);
  return static_cast<EasyTransfer*>(closure)->ReadBody(bytes) ? bytes.size() : 0;
}

bool EasyTransfer::ReadHeaderLine(std::string_view line) {
  if (m_head_received) {
    // Ignores the trailers of a chunked body.
    return true;
  }
  m_header_bytes += line.size();
  if (m_header_bytes > kMaxHeaderBytes) {
    m_rejection = TransferEnd::kAnswerTooLarge;
    return false;
  }
  const absl::string_view text =
      absl::StripAsciiWhitespace(absl::string_view(line.data(), line.size()));
  if (text.empty()) {
    return OnHeadComplete();
  }
  const std::size_t colon = text.find(':');
  if (colon != absl::string_view::npos && !absl::StartsWith(text, "HTTP/")) {
    m_headers.push_back({std::string(text.substr(0, colon)),
                         std::string(absl::StripAsciiWhitespace(text.substr(colon + 1)))});
  }
  return true;
}

bool EasyTransfer::OnHeadComplete() {
  long status = 0;
  curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < kFirstFinalStatus) {
    m_headers.clear();
    return true;
  }
  const bool has_no_body =
      status == kStatusNoContent || status == kStatusNotModified || m_request.method == "HEAD";
  if (!has_no_body && http::FindHeader(m_headers, "Content-Length").empty() &&
      http::FindHeader(m_headers, "Transfer-Encoding").empty()) {
    // The end of such a body can't be distinguished from a lost connection.
    m_rejection = TransferEnd::kMalformedAnswer;
    return false;
  }
  m_head_received = true;
  m_receiver->OnHead(static_cast<int>(status), m_headers);
  return true;
}

bool EasyTransfer::ReadBody(std::string_view data) {
  m_body_bytes += data.size();
  if (m_body_bytes > m_request.max_answer_bytes) {
    m_rejection = TransferEnd::kAnswerTooLarge;
    return false;
  }
  m_receiver->OnBody(data);
  return true;
}

bool EasyTransfer::WasConnected() const {
  // libcurl also sets the connect time for a reused connection and keeps it across its own retries.
  // If it is zero, no byte can have been written.
  curl_off_t connect_time = 0;
  long request_size = 0;
  curl_easy_getinfo(m_easy, CURLINFO_CONNECT_TIME_T, &connect_time);
  curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &request_size);
  return connect_time != 0 || request_size != 0;
}

TransferEnd EasyTransfer::Classify(int code) const {
  if (m_rejection != TransferEnd::kComplete) {
    return m_rejection;
  }
  if (code == CURLE_OK) {
    return m_head_received ? TransferEnd::kComplete : TransferEnd::kMalformedAnswer;
  }
  if (!WasConnected() || IsMutantEnabled("lost_call_counts_as_not_sent")) {
    return TransferEnd::kNotSent;
  }
  switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
      return TransferEnd::kDeadlineExceeded;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_BAD_FUNCTION_ARGUMENT:
      return TransferEnd::kMalformedAnswer;
    default:
      return TransferEnd::kConnectionLost;
  }
}

void EasyTransfer::Finish(int code) {
  const TransferEnd end = Classify(code);
  if (end != TransferEnd::kComplete) {
    Log(kTransferFailed, {{"address", m_request.address},
                          {"method", m_request.method},
                          {"end", static_cast<int>(end)},
                          {"cause", curl_easy_strerror(static_cast<CURLcode>(code))}});
  }
  m_receiver->OnEnd(end);
}

void EasyTransfer::FinishCancelled() { m_receiver->OnEnd(TransferEnd::kCancelled); }

}  // namespace wagtailwind::endpoint::detail
