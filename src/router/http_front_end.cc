#include "router/http_front_end.h"

#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <string_view>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "http/server.h"
#include "http/socket_address.h"
#include "router/hang_up_watcher.h"
#include "router/log_events.h"
#include "router/response_headers.h"

namespace wagtailwind::router {

using requests::FailureReason;
using requests::Outcome;

namespace {

constexpr std::size_t kStreamBlockBytes = 16U << 10U;
// A body over the limit is read up to this multiple of the limit, so that the caller receives the
// 413 instead of a connection error.
constexpr std::uint64_t kDiscardFactor = 4;
// Time to deliver the final error event to streams that a stop has ended.
constexpr std::chrono::milliseconds kFinalEventTimeout{2'000};

/// \brief One request on a connection.
struct Exchange {
  http::Request request;
  bool headers_seen = false;
  std::uint64_t header_bytes = 0;
  std::uint64_t body_bytes = 0;
  SteadyTime started_at{};
  std::shared_ptr<AnswerChannel> channel;
  std::uint64_t watch_id = 0;
};

/// \brief Body of a streamed response.
struct StreamBody {
  MHD_Connection* connection = nullptr;
  std::shared_ptr<AnswerChannel> channel;
};

MHD_Result CollectHeader(void* closure, MHD_ValueKind /*kind*/, const char* key,
                         const char* value) {
  auto* exchange = static_cast<Exchange*>(closure);
  exchange->request.headers.push_back({key, value == nullptr ? "" : value});
  const http::Header& header = exchange->request.headers.back();
  exchange->header_bytes += header.name.size() + header.value.size() + 4;
  return MHD_YES;
}

// Leaves the target as sent by the caller, since the service decodes it.
std::size_t SkipUnescaping(void* /*closure*/, MHD_Connection* /*connection*/, char* text) {
  return std::string_view(text).size();
}

void SetTarget(std::string_view target, http::Request& request) {
  const std::size_t query_start = target.find('?');
  request.path = std::string(target.substr(0, query_start));
  if (query_start != std::string_view::npos) {
    request.query = std::string(target.substr(query_start + 1));
  }
}

}  // namespace

struct HttpFrontEnd::State {
  State(HttpFrontEndSettings front_end_settings, RequestFlow& request_flow,
        MetricsRegistry& registry)
      : settings(std::move(front_end_settings)),
        flow(request_flow),
        rejected(registry.GetCounter("http_requests_rejected_total")) {}

  void Listen();
  void Quiesce();

  [[nodiscard]] std::unique_ptr<Exchange> Begin(const char* uri);
  MHD_Result Handle(MHD_Connection* connection, const char* method, const char* upload,
                    std::size_t* upload_size, Exchange& exchange);
  MHD_Result HandleHeaders(MHD_Connection* connection, const char* method, Exchange& exchange);
  MHD_Result HandleUpload(const char* upload, std::size_t* upload_size, Exchange& exchange) const;
  MHD_Result HandleCompleteRequest(MHD_Connection* connection, Exchange& exchange);
  void Complete(Exchange& exchange);

  void Suspend(MHD_Connection* connection, Exchange& exchange);
  void WaitForBytes(MHD_Connection* connection, AnswerChannel& channel);
  MHD_Result QueueError(MHD_Connection* connection, FailureReason reason);
  MHD_Result QueueAnswer(MHD_Connection* connection, const Exchange& exchange);
  MHD_Result Queue(MHD_Connection* connection, const ResponseHead& head, MHD_Response* response);

  /// \brief Waits until no request is in progress; returns false on timeout.
  bool WaitUntilIdle(std::chrono::milliseconds timeout);
  void EndSuspendedRequests();

  const HttpFrontEndSettings settings;
  RequestFlow& flow;
  Counter& rejected;
  HangUpWatcher watcher;
  SystemClock clock;
  std::string address;
  MHD_Daemon* daemon = nullptr;
  int quiesced_socket = -1;
  std::atomic<bool> ready{false};
  std::atomic<bool> stopping{false};
  std::atomic<bool> closing{false};
  absl::Mutex mutex;
  /// Requests whose answer has not been sent completely.
  std::size_t active ABSL_GUARDED_BY(mutex) = 0;
  std::size_t suspended ABSL_GUARDED_BY(mutex) = 0;
};

namespace {

template <typename Implementation>
ssize_t ReadStream(void* closure, std::uint64_t /*position*/, char* buffer, std::size_t limit) {
  auto* body = static_cast<std::pair<Implementation*, StreamBody>*>(closure);
  AnswerChannel& channel = *body->second.channel;
  const std::size_t count = channel.Read({buffer, limit});
  if (count > 0) {
    return static_cast<ssize_t>(count);
  }
  if (channel.AtEnd()) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  body->first->WaitForBytes(body->second.connection, channel);
  return 0;
}

template <typename Implementation>
void FreeStream(void* closure) {
  delete static_cast<std::pair<Implementation*, StreamBody>*>(closure);
}

}  // namespace

std::unique_ptr<Exchange> HttpFrontEnd::State::Begin(const char* uri) {
  auto exchange = std::make_unique<Exchange>();
  exchange->started_at = clock.Now();
  const std::string_view target(uri);
  exchange->header_bytes = target.size();
  SetTarget(target, exchange->request);
  return exchange;
}

MHD_Result HttpFrontEnd::State::Handle(MHD_Connection* connection, const char* method,
                                       const char* upload, std::size_t* upload_size,
                                       Exchange& exchange) {
  if (!exchange.headers_seen) {
    exchange.headers_seen = true;
    return HandleHeaders(connection, method, exchange);
  }
  if (*upload_size > 0) {
    return HandleUpload(upload, upload_size, exchange);
  }
  return HandleCompleteRequest(connection, exchange);
}

MHD_Result HttpFrontEnd::State::HandleHeaders(MHD_Connection* connection, const char* method,
                                              Exchange& exchange) {
  exchange.request.method = method;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader, &exchange);
  if (exchange.header_bytes > settings.max_header_bytes) {
    return QueueError(connection, FailureReason::kHeadersTooLarge);
  }
  const std::string_view length = http::FindHeader(exchange.request.headers, "Content-Length");
  std::uint64_t value = 0;
  if (absl::SimpleAtoi(absl::string_view(length.data(), length.size()), &value) &&
      value > settings.max_body_bytes) {
    return QueueError(connection, FailureReason::kBodyTooLarge);
  }
  return MHD_YES;
}

MHD_Result HttpFrontEnd::State::HandleUpload(const char* upload, std::size_t* upload_size,
                                             Exchange& exchange) const {
  exchange.body_bytes += *upload_size;
  const bool timed_out = clock.Now() - exchange.started_at > settings.receive_timeout;
  if (timed_out || exchange.body_bytes > settings.max_body_bytes * kDiscardFactor) {
    return MHD_NO;
  }
  if (exchange.body_bytes <= settings.max_body_bytes) {
    exchange.request.body.append(upload, *upload_size);
  }
  *upload_size = 0;
  return MHD_YES;
}

MHD_Result HttpFrontEnd::State::HandleCompleteRequest(MHD_Connection* connection,
                                                      Exchange& exchange) {
  if (exchange.channel) {
    return QueueAnswer(connection, exchange);
  }
  if (exchange.body_bytes > settings.max_body_bytes) {
    return QueueError(connection, FailureReason::kBodyTooLarge);
  }
  if (!ready || closing) {
    return QueueError(connection, FailureReason::kNotReady);
  }
  {
    const absl::MutexLock lock(&mutex);
    ++active;
  }
  exchange.channel = flow.Start(std::move(exchange.request));
  Suspend(connection, exchange);
  return MHD_YES;
}

void HttpFrontEnd::State::Suspend(MHD_Connection* connection, Exchange& exchange) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  exchange.watch_id = watcher.Add(info->connect_fd, exchange.channel);
  WaitForBytes(connection, *exchange.channel);
}

void HttpFrontEnd::State::WaitForBytes(MHD_Connection* connection, AnswerChannel& channel) {
  {
    const absl::MutexLock lock(&mutex);
    ++suspended;
  }
  // The connection is suspended before the callback is set, since the callback may run at once.
  MHD_suspend_connection(connection);
  channel.WhenReadable([this, connection] {
    MHD_resume_connection(connection);
    const absl::MutexLock lock(&mutex);
    --suspended;
  });
}

MHD_Result HttpFrontEnd::State::QueueError(MHD_Connection* connection, FailureReason reason) {
  rejected.Add();
  const CallerError error{reason, Outcome::kNotRun, {}, {}};
  std::string body = ErrorBody(error);
  MHD_Response* response =
      MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
  return Queue(connection, ErrorHead(error), response);
}

MHD_Result HttpFrontEnd::State::QueueAnswer(MHD_Connection* connection, const Exchange& exchange) {
  const ResponseHead head = exchange.channel->Head();
  MHD_Response* response = nullptr;
  if (head.streamed) {
    auto* body = new std::pair<State*, StreamBody>(this, StreamBody{connection, exchange.channel});
    response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlockBytes,
                                                 &ReadStream<State>, body, &FreeStream<State>);
  } else {
    std::string body = exchange.channel->ReadAll();
    response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
  }
  return Queue(connection, head, response);
}

MHD_Result HttpFrontEnd::State::Queue(MHD_Connection* connection, const ResponseHead& head,
                                      MHD_Response* response) {
  for (const http::Header& header : head.headers) {
    MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
  }
  if (stopping) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const MHD_Result queued =
      MHD_queue_response(connection, static_cast<unsigned int>(head.status), response);
  MHD_destroy_response(response);
  return queued;
}

void HttpFrontEnd::State::Complete(Exchange& exchange) {
  if (!exchange.channel) {
    return;
  }
  watcher.Remove(exchange.watch_id);
  // Has no effect if the answer has ended.
  exchange.channel->Abandon();
  const absl::MutexLock lock(&mutex);
  --active;
}

bool HttpFrontEnd::State::WaitUntilIdle(std::chrono::milliseconds timeout) {
  const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) { return active == 0; };
  const absl::MutexLock lock(&mutex);
  return mutex.AwaitWithTimeout(absl::Condition(&idle), absl::FromChrono(timeout));
}

// Ends the requests of all suspended connections, since the library must not be stopped while a
// connection is suspended. Requests that the workers still process are ended in a later iteration.
void HttpFrontEnd::State::EndSuspendedRequests() {
  closing = true;
  const auto none_suspended = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) { return suspended == 0; };
  bool done = false;
  while (!done) {
    flow.EndAll(FailureReason::kShutdownTimeout);
    const absl::MutexLock lock(&mutex);
    done = mutex.AwaitWithTimeout(absl::Condition(&none_suspended), absl::Milliseconds(20));
  }
}

void HttpFrontEnd::State::Listen() {
  const http::SocketAddress socket_address = http::ParseSocketAddress(settings.listen);
  const unsigned int family_flag =
      socket_address.Get()->sa_family == AF_INET6 ? MHD_USE_IPv6 : MHD_NO_FLAG;
  const auto begin = [](void* closure, const char* uri, MHD_Connection* /*connection*/) -> void* {
    return static_cast<State*>(closure)->Begin(uri).release();
  };
  const auto handle = [](void* closure, MHD_Connection* connection, const char* /*url*/,
                         const char* method, const char* /*version*/, const char* upload,
                         std::size_t* upload_size, void** exchange) -> MHD_Result {
    return static_cast<State*>(closure)->Handle(connection, method, upload, upload_size,
                                                *static_cast<Exchange*>(*exchange));
  };
  const auto complete = [](void* closure, MHD_Connection* /*connection*/, void** exchange,
                           MHD_RequestTerminationCode /*code*/) {
    const std::unique_ptr<Exchange> owned(
        static_cast<Exchange*>(std::exchange(*exchange, nullptr)));
    if (owned) {
      static_cast<State*>(closure)->Complete(*owned);
    }
  };
  // Header blocks slightly over the limit still fit, so that they get the typed 431 instead of the
  // library's own.
  constexpr std::size_t kMemoryReserve = 32U << 10U;
  const std::size_t memory = 2 * settings.max_header_bytes + kMemoryReserve;
  const unsigned int threads = settings.threads > 1 ? settings.threads : 0;
  daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | family_flag, 0,
      nullptr, nullptr, +handle, this, MHD_OPTION_SOCK_ADDR, socket_address.Get(),
      MHD_OPTION_URI_LOG_CALLBACK, +begin, this, MHD_OPTION_NOTIFY_COMPLETED, +complete, this,
      MHD_OPTION_UNESCAPE_CALLBACK, &SkipUnescaping, nullptr, MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned int>(settings.max_connections), MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(settings.idle_timeout.count()), MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      memory, MHD_OPTION_THREAD_POOL_SIZE, threads, MHD_OPTION_END);
  if (daemon == nullptr) {
    throw http::ListenFailed("can't listen on " + settings.listen);
  }
  const MHD_DaemonInfo* info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
  address = socket_address.HostText() + ":" + std::to_string(info->port);
  Log(kListening, {{"address", address}});
}

void HttpFrontEnd::State::Quiesce() {
  if (quiesced_socket >= 0) {
    return;
  }
  quiesced_socket = MHD_quiesce_daemon(daemon);
  // The library's threads may still use the socket, so it is closed later. The shutdown keeps the
  // kernel from accepting connections that no thread serves.
  shutdown(quiesced_socket, SHUT_RDWR);
}

HttpFrontEnd::HttpFrontEnd(HttpFrontEndSettings settings, RequestFlow& flow,
                           MetricsRegistry& metrics)
    : m_state(std::make_unique<State>(std::move(settings), flow, metrics)) {
  m_state->Listen();
}

HttpFrontEnd::~HttpFrontEnd() {
  m_state->stopping = true;
  m_state->Quiesce();
  m_state->EndSuspendedRequests();
  MHD_stop_daemon(m_state->daemon);
  close(m_state->quiesced_socket);
}

const std::string& HttpFrontEnd::Address() const noexcept { return m_state->address; }

void HttpFrontEnd::SetReady(bool ready) noexcept { m_state->ready = ready; }

bool HttpFrontEnd::IsReady() const noexcept { return m_state->ready && !m_state->stopping; }

StopReport HttpFrontEnd::Stop(std::chrono::milliseconds balancer_delay,
                              std::chrono::milliseconds drain_timeout) {
  Log(kStopStarted);
  m_state->stopping = true;
  std::this_thread::sleep_for(balancer_delay);
  m_state->Quiesce();
  StopReport report;
  // Keep-alive connections may still send requests. They are refused from now on, since the end of
  // the drain could cut them.
  m_state->closing = true;
  const bool is_idle = m_state->WaitUntilIdle(drain_timeout);
  if (!is_idle) {
    report.terminated_requests = m_state->flow.EndAll(FailureReason::kShutdownTimeout);
    Log(kStreamsTerminated, {{"count", report.terminated_requests}});
    [[maybe_unused]] const bool delivered = m_state->WaitUntilIdle(kFinalEventTimeout);
  }
  Log(kStopFinished, {{"cut", report.terminated_requests}});
  return report;
}

std::string HttpFrontEnd::DumpState() const {
  nlohmann::ordered_json state;
  state["address"] = m_state->address;
  state["ready"] = IsReady();
  state["stopping"] = m_state->stopping.load();
  const absl::MutexLock lock(&m_state->mutex);
  state["active"] = m_state->active;
  state["suspended"] = m_state->suspended;
  return state.dump(2);
}

}  // namespace wagtailwind::router
