#include "support/scripted_server.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace wagtailwind::testing {

namespace {
constexpr std::size_t kMaxHeadBytes = 64U << 10U;
constexpr std::size_t kPartBytes = 16U << 10U;
// Ends a test whose peer reads everything before it exhausts the machine's memory.
constexpr std::size_t kMaxWritten = std::size_t{256} << 20U;
}  // namespace

ScriptedServer::Connection::Connection(ScriptedServer& server, uv_stream_t* listener)
    : m_server(server),
      m_stream(new net::TcpStream(server.m_loop, *this)),
      m_parser(http1::MessageParser::Kind::kRequest, *this, kMaxHeadBytes) {
  m_stream->Accept(listener);
  SetReading(server.m_is_reading);
}

void ScriptedServer::Connection::SetReading(bool is_reading) {
  if (m_stream != nullptr) {
    is_reading ? m_stream->StartReading() : m_stream->StopReading();
  }
}

void ScriptedServer::Connection::Close() { m_stream.reset(); }

void ScriptedServer::Connection::Reset() {
  m_stream->ResetOnClose();
  m_stream.reset();
}

void ScriptedServer::Connection::OnData(std::string_view data) {
  while (!data.empty() && m_stream != nullptr) {
    data.remove_prefix(m_parser.Feed(data));
    if (m_parser.state() != http1::MessageParser::State::kMessageComplete) {
      return;
    }
    m_parser.Restart();
    ++requests;
    ++m_server.requests;
    m_server.m_handler(*this);
    body.clear();
  }
}

void ScriptedServer::Connection::OnEnd() {
  ++m_server.client_ends;
  m_stream.reset();
}

void ScriptedServer::Connection::OnError(std::string_view /*error*/) { OnEnd(); }

bool ScriptedServer::Connection::OnHead(http1::MessageHead message) {
  head = std::move(message);
  if (m_server.m_head_handler) {
    m_server.m_head_handler(*this);
  }
  return true;
}

ScriptedServer::ScriptedServer(net::EventLoop& loop, Handler handler)
    : m_loop(loop),
      m_handler(std::move(handler)),
      m_listener(loop, "127.0.0.1:0", [this](uv_stream_t* listener) {
        ++accepted;
        m_connections.push_back(std::make_unique<Connection>(*this, listener));
      }) {}

void ScriptedServer::SetReading(bool is_reading) {
  m_is_reading = is_reading;
  for (const auto& connection : m_connections) {
    connection->SetReading(is_reading);
  }
}

EndlessWriter::EndlessWriter(net::EventLoop& loop, int parts_per_tick)
    : m_timer(loop, [this, parts_per_tick] {
        for (Entry& entry : m_entries) {
          // A write to a connection that the peer has reset fails without being queued, and the
          // connection counts as closed only after the next event.
          for (int part = 0; part < parts_per_tick && !entry.connection->closed() &&
                             entry.connection->QueuedBytes() == 0 && entry.written < kMaxWritten;
               ++part) {
            entry.connection->Write(entry.text);
            entry.written += entry.text.size();
            written += entry.text.size();
          }
        }
      }) {
  // The peer may close its connection at any time, and a write to it must not end the process.
  signal(SIGPIPE, SIG_IGN);
  m_timer.StartPeriodic(std::chrono::milliseconds(1));
}

void EndlessWriter::Start(ScriptedServer::Connection& connection, std::string_view text) {
  Entry& entry = m_entries.emplace_back(Entry{.connection = &connection, .text = {}});
  while (entry.text.size() < kPartBytes) {
    entry.text.append(text);
  }
}

std::size_t EndlessWriter::OpenConnections() const {
  return static_cast<std::size_t>(
      std::count_if(m_entries.begin(), m_entries.end(),
                    [](const Entry& entry) { return !entry.connection->closed(); }));
}

std::string Chunk(std::string_view text) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + std::string(text) + "\r\n";
}

std::string HttpText(int status, std::string_view headers, std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  text.append(headers);
  text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return text.append(body);
}

}  // namespace wagtailwind::testing
