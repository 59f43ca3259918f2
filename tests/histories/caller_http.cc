#include "histories/caller_http.h"

#include <curl/curl.h>

#include "absl/strings/ascii.h"

namespace wagtailwind::histories {

namespace {

struct Transfer {
  const CallerRequest& request;
  CallerResponse& response;
};

std::size_t OnBody(char* data, std::size_t size, std::size_t count, void* closure) {
  const Transfer& transfer = *static_cast<Transfer*>(closure);
  transfer.response.body.append(data, size * count);
  if (transfer.request.on_bytes) {
    transfer.request.on_bytes();
  }
  const std::size_t limit = transfer.request.hang_up_after;
  return limit > 0 && transfer.response.body.size() >= limit ? 0 : size * count;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count, void* closure) {
  const absl::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon != absl::string_view::npos) {
    static_cast<Transfer*>(closure)->response.headers.push_back(
        {std::string(line.substr(0, colon)),
         std::string(absl::StripAsciiWhitespace(line.substr(colon + 1)))});
  }
  return line.size();
}

curl_slist* MakeHeaders(const CallerRequest& request) {
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const http::Header& header : request.headers) {
    list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
  }
  return list;
}

}  // namespace

CallerResponse SendAsCaller(const CallerRequest& request) {
  CallerResponse response;
  Transfer transfer{request, response};
  CURL* easy = curl_easy_init();
  curl_slist* headers = MakeHeaders(request);
  const std::string url = "http://" + request.address + request.path;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  if (request.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
  }
  const CURLcode code = curl_easy_perform(easy);
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  response.status = static_cast<int>(status);
  response.complete = code == CURLE_OK;
  // CURLE_COULDNT_CONNECT is the only code that proves that nothing was sent.
  response.connected = code != CURLE_COULDNT_CONNECT;
  curl_easy_cleanup(easy);
  curl_slist_free_all(headers);
  return response;
}

}  // namespace wagtailwind::histories
