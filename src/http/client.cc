#include "http/client.h"

#include <curl/curl.h>

#include <mutex>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"

namespace wagtailwind::http {

namespace {

// Larger than any value or list of the services that are called with this client.
constexpr std::size_t kMaxBodyBytes = 32U << 20U;

/// Returns fewer bytes than it was given if the body exceeds the limit, which makes libcurl end the
/// call.
std::size_t AppendBody(char* data, std::size_t size, std::size_t count, void* closure) {
  auto& body = *static_cast<std::string*>(closure);
  if (body.size() + size * count > kMaxBodyBytes) {
    return 0;
  }
  body.append(data, size * count);
  return size * count;
}

std::size_t AppendHeader(char* data, std::size_t size, std::size_t count, void* closure) {
  const std::string_view line(data, size * count);
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    const absl::string_view value(line.data() + colon + 1, line.size() - colon - 1);
    static_cast<std::vector<Header>*>(closure)->push_back(
        {std::string(line.substr(0, colon)), std::string(absl::StripAsciiWhitespace(value))});
  }
  return size * count;
}

struct HeaderList {
  explicit HeaderList(const std::vector<Header>& headers) {
    Append("Expect:");
    for (const Header& header : headers) {
      Append((header.name + ": " + header.value).c_str());
    }
  }
  ~HeaderList() { curl_slist_free_all(list); }
  HeaderList(const HeaderList&) = delete;
  HeaderList& operator=(const HeaderList&) = delete;

  void Append(const char* line) { list = curl_slist_append(list, line); }

  curl_slist* list = nullptr;
};

void InitialiseCurlOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)result;
}

}  // namespace

struct Client::Pool {
  std::mutex mutex;
  std::vector<CURL*> idle_handles;

  CURL* Acquire() {
    const std::lock_guard lock(mutex);
    if (idle_handles.empty()) {
      return curl_easy_init();
    }
    CURL* handle = idle_handles.back();
    idle_handles.pop_back();
    return handle;
  }

  void Release(CURL* handle) {
    curl_easy_reset(handle);
    const std::lock_guard lock(mutex);
    idle_handles.push_back(handle);
  }

  ~Pool() {
    for (CURL* handle : idle_handles) {
      curl_easy_cleanup(handle);
    }
  }
};

Client::Client(std::string address)
    : m_address(std::move(address)), m_pool(std::make_unique<Pool>()) {
  InitialiseCurlOnce();
}

Client::~Client() = default;

Response Client::Send(const std::string& method, const std::string& target, const std::string& body,
                      std::chrono::milliseconds timeout, const std::vector<Header>& headers) {
  CURL* handle = m_pool->Acquire();
  Response response;
  const HeaderList header_list(headers);
  const std::string url = "http://" + m_address + target;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, header_list.list);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &AppendHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &response.headers);
  // libcurl repeats a request by itself when a reused connection turns out to be closed.
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  if (!body.empty() || method == "POST" || method == "PUT") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
  }
  const CURLcode code = curl_easy_perform(handle);
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  double connect_seconds = 0;
  curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME, &connect_seconds);
  m_pool->Release(handle);
  if (code == CURLE_COULDNT_CONNECT || (code != CURLE_OK && connect_seconds == 0)) {
    throw NotConnected(method + " " + url + ": " + curl_easy_strerror(code));
  }
  if (code != CURLE_OK) {
    throw ResponseLost(method + " " + url + ": " + curl_easy_strerror(code));
  }
  response.status = static_cast<int>(status);
  return response;
}

}  // namespace wagtailwind::http
