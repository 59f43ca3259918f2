#include "http/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "http/socket_address.h"

namespace wagtailwind::http {

namespace {

constexpr std::size_t kMaxBodyBytes = 16U << 20U;
constexpr std::size_t kStreamBlockBytes = 16U << 10U;

struct IncomingRequest {
  Request request;
  bool too_large = false;
};

struct StreamState {
  std::shared_ptr<BodySource> source;
  std::string unsent;
};

ssize_t ReadStream(void* closure, std::uint64_t /*position*/, char* buffer, std::size_t limit) {
  auto* state = static_cast<StreamState*>(closure);
  try {
    if (state->unsent.empty()) {
      state->unsent = state->source->Next();
    }
  } catch (const AbortBody&) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  if (state->unsent.empty()) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  const std::size_t count = std::min(limit, state->unsent.size());
  std::memcpy(buffer, state->unsent.data(), count);
  state->unsent.erase(0, count);
  return static_cast<ssize_t>(count);
}

void FreeStream(void* closure) { delete static_cast<StreamState*>(closure); }

MHD_Result CollectHeader(void* closure, MHD_ValueKind /*kind*/, const char* key,
                         const char* value) {
  static_cast<Request*>(closure)->headers.push_back({key, value == nullptr ? "" : value});
  return MHD_YES;
}

MHD_Result CollectQuery(void* closure, MHD_ValueKind /*kind*/, const char* key, const char* value) {
  auto* query = static_cast<std::string*>(closure);
  if (!query->empty()) {
    query->push_back('&');
  }
  query->append(key).append("=").append(value == nullptr ? "" : value);
  return MHD_YES;
}

MHD_Response* MakeResponse(const HandlerResult& result) {
  MHD_Response* response = nullptr;
  if (result.stream) {
    response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ReadStream,
                                                 new StreamState{result.stream, {}}, &FreeStream);
  } else {
    // The function takes a non-const pointer, but MHD_RESPMEM_MUST_COPY makes it copy the body.
    response = MHD_create_response_from_buffer(result.response.body.size(),
                                               const_cast<char*>(result.response.body.data()),
                                               MHD_RESPMEM_MUST_COPY);
  }
  for (const Header& header : result.response.headers) {
    MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
  }
  return response;
}

MHD_Result QueueResponse(MHD_Connection* connection, const HandlerResult& result) {
  MHD_Response* response = MakeResponse(result);
  const MHD_Result queued =
      MHD_queue_response(connection, static_cast<unsigned int>(result.response.status), response);
  MHD_destroy_response(response);
  return queued;
}

MHD_Result OnRequest(void* closure, MHD_Connection* connection, const char* url, const char* method,
                     const char* /*version*/, const char* upload, std::size_t* upload_size,
                     void** connection_state) {
  if (*connection_state == nullptr) {
    auto* incoming = new IncomingRequest;
    incoming->request.method = method;
    incoming->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader, &incoming->request);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              &incoming->request.query);
    *connection_state = incoming;
    return MHD_YES;
  }
  auto* incoming = static_cast<IncomingRequest*>(*connection_state);
  if (*upload_size > 0) {
    incoming->too_large = incoming->request.body.size() + *upload_size > kMaxBodyBytes;
    if (!incoming->too_large) {
      incoming->request.body.append(upload, *upload_size);
    }
    *upload_size = 0;
    return incoming->too_large ? MHD_NO : MHD_YES;
  }
  const auto& handler = *static_cast<const Server::Handler*>(closure);
  HandlerResult result;
  try {
    result = handler(incoming->request);
  } catch (const std::exception& error) {
    result.response = {500, {}, error.what()};
  }
  return result.drop_connection ? MHD_NO : QueueResponse(connection, result);
}

void OnRequestCompleted(void* /*closure*/, MHD_Connection* /*connection*/, void** connection_state,
                        MHD_RequestTerminationCode /*code*/) {
  delete static_cast<IncomingRequest*>(*connection_state);
  *connection_state = nullptr;
}

}  // namespace

struct Server::Implementation {
  Handler handler;
  MHD_Daemon* daemon = nullptr;
};

Server::Server(std::string_view address, Handler handler)
    : m_implementation(std::make_unique<Implementation>()) {
  m_implementation->handler = std::move(handler);
  const SocketAddress socket_address = ParseSocketAddress(address);
  const unsigned int family_flag =
      socket_address.Get()->sa_family == AF_INET6 ? MHD_USE_IPv6 : MHD_NO_FLAG;
  m_implementation->daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | family_flag,
      0, nullptr, nullptr, &OnRequest, &m_implementation->handler, MHD_OPTION_SOCK_ADDR,
      socket_address.Get(), MHD_OPTION_NOTIFY_COMPLETED, &OnRequestCompleted, nullptr,
      MHD_OPTION_END);
  if (m_implementation->daemon == nullptr) {
    throw ListenFailed("can't listen on " + std::string(address));
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(m_implementation->daemon, MHD_DAEMON_INFO_BIND_PORT);
  m_address = socket_address.HostText() + ":" + std::to_string(info->port);
}

Server::~Server() { MHD_stop_daemon(m_implementation->daemon); }

}  // namespace wagtailwind::http
