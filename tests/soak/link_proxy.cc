#include "soak/link_proxy.h"

#include <deque>
#include <utility>

#include "core/clock.h"

namespace wagtailwind::soak {

namespace {

using namespace std::chrono_literals;

// Longer than the round-trip time of a real network, shorter than the timeouts of the programs.
constexpr std::chrono::milliseconds kDelay = 150ms;

}  // namespace

/// \brief A client's connection, the matching connection to the server, and the bytes in between.
class LinkProxy::Connection {
 public:
  Connection(LinkProxy& proxy, uv_stream_t* listener)
      : m_proxy(proxy), m_client(*this, true), m_server(*this, false) {
    m_client.stream->Accept(listener);
    if (m_proxy.m_fault == LinkFault::kReset) {
      Close(true);
      return;
    }
    m_client.stream->StartReading();
    m_server.stream->Connect(m_proxy.m_server);
  }

  void Close(bool reset) {
    for (Side* side : {&m_client, &m_server}) {
      if (side->stream && reset) {
        side->stream->ResetOnClose();
      }
      side->stream.reset();
    }
  }

  [[nodiscard]] bool IsClosed() const noexcept { return !m_client.stream && !m_server.stream; }

  void Blackhole() { m_blackholed = true; }

  /// Forwards the bytes whose delay has passed.
  void Flush() {
    Flush(m_client, m_server, true);
    Flush(m_server, m_client, false);
  }

 private:
  struct Chunk {
    SteadyTime due;
    std::string bytes;
  };

  struct Side final : public net::StreamHandler {
    Side(Connection& owner, bool client)
        : connection(owner),
          is_client(client),
          stream(std::make_unique<net::TcpStream>(owner.m_proxy.m_loop, *this)),
          timer(owner.m_proxy.m_loop, [&owner] { owner.Flush(); }) {}

    void OnData(std::string_view data) override { connection.Enqueue(*this, data); }
    void OnEnd() override {
      ended = true;
      connection.Flush();
    }
    void OnError(std::string_view /*error*/) override {
      if (!connection.m_blackholed) {
        connection.Close(true);
      }
    }
    void OnConnected() override {
      connected = true;
      stream->StartReading();
      connection.Flush();
    }

    Connection& connection;
    bool is_client;
    bool connected = false;
    /// The peer has closed its sending direction.
    bool ended = false;
    std::deque<Chunk> waiting;
    std::unique_ptr<net::TcpStream> stream;
    net::Timer timer;
  };

  void Enqueue(Side& side, std::string_view data) {
    const bool delayed = m_proxy.m_fault == LinkFault::kDelay;
    side.waiting.push_back({SystemClock().Now() + (delayed ? kDelay : 0ms), std::string(data)});
    if (delayed) {
      side.timer.Start(kDelay);
    }
    Flush();
  }

  void Flush(Side& from, Side& to, bool to_server) {
    if (m_blackholed || m_proxy.IsStalled(to_server) || (to_server && !to.connected)) {
      return;
    }
    if (!to.stream) {
      if (from.ended) {
        from.stream.reset();
      }
      return;
    }
    const SteadyTime now = SystemClock().Now();
    while (!from.waiting.empty() && from.waiting.front().due <= now) {
      to.stream->Write(from.waiting.front().bytes);
      from.waiting.pop_front();
    }
    if (!from.waiting.empty()) {
      from.timer.Start(from.waiting.front().due - now);
    } else if (from.ended) {
      to.stream->ShutDown();
      from.stream.reset();
    }
  }

  LinkProxy& m_proxy;
  bool m_blackholed = false;
  Side m_client;
  Side m_server;
};

LinkProxy::LinkProxy(net::EventLoop& loop)
    : m_loop(loop),
      m_listener(
          std::make_unique<net::TcpListener>(loop, "127.0.0.1:0", [this](uv_stream_t* listener) {
            m_connections.remove_if([](const auto& entry) { return entry->IsClosed(); });
            m_connections.push_back(std::make_unique<Connection>(*this, listener));
            if (m_fault == LinkFault::kBlackhole) {
              m_connections.back()->Blackhole();
            }
          })) {}

LinkProxy::~LinkProxy() = default;

bool LinkProxy::IsStalled(bool to_server) const noexcept {
  return m_fault == (to_server ? LinkFault::kStallToServer : LinkFault::kStallToClient);
}

void LinkProxy::SetFault(LinkFault fault) {
  m_fault = fault;
  for (const auto& connection : m_connections) {
    if (fault == LinkFault::kReset) {
      connection->Close(true);
    } else if (fault == LinkFault::kBlackhole) {
      connection->Blackhole();
    } else {
      connection->Flush();
    }
  }
}

}  // namespace wagtailwind::soak
