#include "support/load_generator.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <memory>
#include <optional>
#include <string_view>
#include <thread>

namespace wagtailwind::testing {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

constexpr long kCallTimeoutMs = 60'000;

double Milliseconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// \brief One caller and its connection.
class Stream {
 public:
  Stream(const LoadCaller& caller, TimePoint first_start)
      : m_body(caller.body), m_next_start(first_start), m_easy(curl_easy_init()) {
    m_headers = curl_slist_append(nullptr, "Expect:");
    for (const http::Header& header : caller.headers) {
      m_headers = curl_slist_append(m_headers, (header.name + ": " + header.value).c_str());
    }
    const std::string url = "http://" + caller.address + "/v1/chat/completions";
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_body.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_body.c_str());
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, kCallTimeoutMs);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &Stream::OnData);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
  }
  ~Stream() {
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  [[nodiscard]] CURL* Handle() const noexcept { return m_easy; }
  [[nodiscard]] TimePoint NextStart() const noexcept { return m_next_start; }

  void Begin(LoadResult& result) {
    m_result = &result;
    m_started = std::chrono::steady_clock::now();
    m_last_token.reset();
    m_buffer.clear();
    m_done = false;
  }

  void End(CURLcode code) {
    const bool complete = code == CURLE_OK && m_done;
    ++(complete ? m_result->whole_answers : m_result->failures);
    m_warmed_up = true;
    m_next_start = std::chrono::steady_clock::now();
  }

 private:
  static std::size_t OnData(char* data, std::size_t size, std::size_t count, void* closure) {
    static_cast<Stream*>(closure)->Read({data, size * count});
    return size * count;
  }

  void Read(std::string_view data) {
    const TimePoint now = std::chrono::steady_clock::now();
    m_buffer.append(data);
    std::size_t begin = 0;
    for (std::size_t end = m_buffer.find("\n\n"); end != std::string::npos;
         end = m_buffer.find("\n\n", begin)) {
      ParseEvent(std::string_view(m_buffer).substr(begin, end - begin), now);
      begin = end + 2;
    }
    m_buffer.erase(0, begin);
  }

  void ParseEvent(std::string_view event, TimePoint now) {
    m_done = m_done || event.starts_with("data: [DONE]");
    if (event.find("\"content\":") == std::string_view::npos) {
      return;
    }
    ++m_result->tokens;
    if (m_warmed_up) {
      RecordSample(event, now);
    }
    m_last_token = now;
  }

  void RecordSample(std::string_view event, TimePoint now) {
    if (m_last_token) {
      m_result->gap_ms.push_back(Milliseconds(now - *m_last_token));
    } else {
      m_result->first_token_ms.push_back(Milliseconds(now - m_started));
    }
    constexpr std::string_view kProduced = "\"produced_us\":";
    const std::size_t field = event.find(kProduced);
    std::int64_t produced = 0;
    if (field != std::string_view::npos && std::from_chars(event.data() + field + kProduced.size(),
                                                           event.data() + event.size(), produced)
                                                   .ec == std::errc()) {
      m_result->transit_ms.push_back(
          Milliseconds(now.time_since_epoch() - std::chrono::microseconds(produced)));
    }
  }

  const std::string m_body;
  TimePoint m_next_start;
  CURL* m_easy;
  curl_slist* m_headers = nullptr;
  LoadResult* m_result = nullptr;
  TimePoint m_started;
  std::optional<TimePoint> m_last_token;
  std::string m_buffer;
  bool m_done = false;
  bool m_warmed_up = false;
};

/// \brief Runs the callers of one thread as libcurl transfers on one epoll instance.
class Worker {
 public:
  explicit Worker(TimePoint end) : m_end(end), m_epoll(epoll_create1(EPOLL_CLOEXEC)) {
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Worker::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Worker::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  }
  ~Worker() {
    m_streams.clear();
    curl_multi_cleanup(m_multi);
    close(m_epoll);
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void Add(const LoadCaller& caller, TimePoint first_start) {
    m_streams.push_back(std::make_unique<Stream>(caller, first_start));
    m_waiting.push_back(m_streams.back().get());
    // Each caller keeps its own connection.
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(m_streams.size()));
  }

  void Run() {
    while (m_running > 0 || std::chrono::steady_clock::now() < m_end) {
      StartDueCalls();
      Wait();
      HandleFinishedCalls();
    }
    timespec cpu{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu);
    m_result.cpu_seconds = static_cast<double>(cpu.tv_sec) + static_cast<double>(cpu.tv_nsec) / 1e9;
  }

  [[nodiscard]] const LoadResult& Result() const noexcept { return m_result; }

 private:
  static int OnSocket(CURL* /*easy*/, curl_socket_t socket, int what, void* closure,
                      void* /*socket_data*/) {
    const int epoll = static_cast<Worker*>(closure)->m_epoll;
    epoll_event event{};
    event.data.fd = socket;
    event.events =
        ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    if (what == CURL_POLL_REMOVE) {
      epoll_ctl(epoll, EPOLL_CTL_DEL, socket, nullptr);
    } else if (epoll_ctl(epoll, EPOLL_CTL_MOD, socket, &event) != 0) {
      epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event);
    }
    return 0;
  }

  static int OnTimer(CURLM* /*multi*/, long timeout_ms, void* closure) {
    auto* worker = static_cast<Worker*>(closure);
    worker->m_timer.reset();
    if (timeout_ms >= 0) {
      worker->m_timer = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    }
    return 0;
  }

  void StartDueCalls() {
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= m_end) {
      m_waiting.clear();
      return;
    }
    const auto due =
        std::partition(m_waiting.begin(), m_waiting.end(),
                       [now](const Stream* stream) { return stream->NextStart() > now; });
    const std::vector<Stream*> to_start(due, m_waiting.end());
    m_waiting.erase(due, m_waiting.end());
    for (Stream* stream : to_start) {
      stream->Begin(m_result);
      curl_multi_add_handle(m_multi, stream->Handle());
      ++m_running;
    }
  }

  [[nodiscard]] int WaitMs() const {
    constexpr double kMaxWaitMs = 100;
    TimePoint until = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    for (const Stream* stream : m_waiting) {
      until = std::min(until, stream->NextStart());
    }
    if (m_timer) {
      until = std::min(until, *m_timer);
    }
    const double wait = Milliseconds(until - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp(wait + 0.5, 0.0, kMaxWaitMs));
  }

  void Wait() {
    std::array<epoll_event, 64> events{};
    const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), WaitMs());
    int running = 0;
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<std::size_t>(i)];
      const int flags = ((event.events & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0) |
                        ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
                        ((event.events & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0);
      curl_multi_socket_action(m_multi, event.data.fd, flags, &running);
    }
    if (m_timer && std::chrono::steady_clock::now() >= *m_timer) {
      m_timer.reset();
      curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  }

  void HandleFinishedCalls() {
    int remaining = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      Stream* stream = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &stream);
      curl_multi_remove_handle(m_multi, stream->Handle());
      stream->End(code);
      m_waiting.push_back(stream);
      --m_running;
    }
  }

  const TimePoint m_end;
  const int m_epoll;
  CURLM* m_multi = curl_multi_init();
  std::optional<TimePoint> m_timer;
  std::vector<std::unique_ptr<Stream>> m_streams;
  std::vector<Stream*> m_waiting;
  std::size_t m_running = 0;
  LoadResult m_result;
};

void Append(const std::vector<double>& from, std::vector<double>& to) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

LoadResult RunLoad(const std::vector<LoadCaller>& callers, std::chrono::milliseconds duration,
                   std::chrono::milliseconds spread, std::size_t threads) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const TimePoint begin = std::chrono::steady_clock::now();
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < std::min(threads, callers.size()); ++i) {
    workers.push_back(std::make_unique<Worker>(begin + duration));
  }
  for (std::size_t i = 0; i < callers.size(); ++i) {
    workers[i % workers.size()]->Add(callers[i], begin + spread * i / callers.size());
  }
  std::vector<std::thread> running;
  running.reserve(workers.size());
  for (const std::unique_ptr<Worker>& worker : workers) {
    running.emplace_back([&worker] { worker->Run(); });
  }
  LoadResult total;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    running[i].join();
    const LoadResult& part = workers[i]->Result();
    Append(part.first_token_ms, total.first_token_ms);
    Append(part.gap_ms, total.gap_ms);
    Append(part.transit_ms, total.transit_ms);
    total.whole_answers += part.whole_answers;
    total.failures += part.failures;
    total.tokens += part.tokens;
    total.cpu_seconds += part.cpu_seconds;
    total.busiest_thread_cpu_seconds = std::max(total.busiest_thread_cpu_seconds, part.cpu_seconds);
  }
  const auto wall = std::chrono::steady_clock::now() - begin;
  total.wall_seconds = std::chrono::duration<double>(wall).count();
  return total;
}

}  // namespace wagtailwind::testing
