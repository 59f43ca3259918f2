#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

constexpr std::string_view kBase64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

double NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

void SleepMs(double milliseconds) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
}

std::string Address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

int Listen(std::uint16_t& port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(descriptor, 256) != 0) {
    close(descriptor);
    throw std::runtime_error("listen at port " + std::to_string(port));
  }
  socklen_t size = sizeof(address);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return descriptor;
}

std::uint16_t FreePort() {
  std::uint16_t port = 0;
  close(Listen(port));
  return port;
}

int Connect(std::uint16_t port, int timeout_ms) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd entry{.fd = descriptor, .events = POLLOUT, .revents = 0};
    int error = errno == EINPROGRESS ? 0 : errno;
    socklen_t size = sizeof(error);
    if (error != 0 || poll(&entry, 1, timeout_ms) != 1 ||
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(descriptor);
      return -1;
    }
  }
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

std::string Message::Find(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

int Message::Status() const {
  const std::size_t space = first_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space + 1);
}

std::string Message::Method() const { return first_line.substr(0, first_line.find(' ')); }

std::string Message::Target() const {
  const std::size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

Connection::~Connection() { Close(); }

void Connection::Close() {
  if (m_descriptor >= 0) {
    close(m_descriptor);
    m_descriptor = -1;
  }
}

void Connection::Reset() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  Close();
}

bool Connection::Write(std::string_view text) {
  while (!text.empty()) {
    const ssize_t count = send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool Connection::IsGone() const {
  char byte = 0;
  const ssize_t count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

ReadResult Connection::ReadMore(double deadline_ms) {
  while (true) {
    const double left = deadline_ms - NowMs();
    if (left <= 0) {
      return ReadResult::kTimeout;
    }
    pollfd entry{.fd = m_descriptor, .events = POLLIN, .revents = 0};
    if (poll(&entry, 1, static_cast<int>(std::min(left + 1, 1e6))) <= 0) {
      continue;
    }
    char bytes[16384];
    const ssize_t count = recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (count > 0) {
      m_buffer.append(bytes, static_cast<std::size_t>(count));
      return ReadResult::kData;
    }
    if (count < 0 && errno == EINTR) {
      continue;
    }
    return count == 0 ? ReadResult::kEnd : ReadResult::kReset;
  }
}

ReadResult Connection::ReadHead(Message& message, double deadline_ms) {
  std::size_t end = 0;
  while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (const ReadResult result = ReadMore(deadline_ms); result != ReadResult::kData) {
      return result;
    }
  }
  message = {};
  std::size_t begin = m_buffer.find("\r\n");
  message.first_line = m_buffer.substr(0, begin);
  while (begin < end) {
    begin += 2;
    const std::size_t line_end = m_buffer.find("\r\n", begin);
    const std::size_t colon = m_buffer.find(':', begin);
    if (colon < line_end) {
      std::size_t value = colon + 1;
      while (value < line_end && m_buffer[value] == ' ') {
        ++value;
      }
      message.headers.emplace_back(m_buffer.substr(begin, colon - begin),
                                   m_buffer.substr(value, line_end - value));
    }
    begin = line_end;
  }
  m_buffer.erase(0, end + 4);
  return ReadResult::kData;
}

ReadResult Connection::ReadBody(Message& message, double deadline_ms) {
  if (message.Find("Transfer-Encoding") == "chunked") {
    while (true) {
      std::size_t line_end = 0;
      while ((line_end = m_buffer.find("\r\n")) == std::string::npos) {
        if (const ReadResult result = ReadMore(deadline_ms); result != ReadResult::kData) {
          return result;
        }
      }
      const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
      while (m_buffer.size() < line_end + 2 + size + 2) {
        if (const ReadResult result = ReadMore(deadline_ms); result != ReadResult::kData) {
          return result;
        }
      }
      message.body.append(m_buffer, line_end + 2, size);
      m_buffer.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return ReadResult::kData;
      }
    }
  }
  const std::string length = message.Find("Content-Length");
  const bool is_request = message.first_line.find(" HTTP/") != std::string::npos;
  if (length.empty() && !is_request) {
    ReadResult result = ReadResult::kData;
    while (result == ReadResult::kData) {
      result = ReadMore(deadline_ms);
    }
    message.body = std::exchange(m_buffer, {});
    return result == ReadResult::kEnd ? ReadResult::kData : result;
  }
  const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
  while (m_buffer.size() < size) {
    if (const ReadResult result = ReadMore(deadline_ms); result != ReadResult::kData) {
      return result;
    }
  }
  message.body = m_buffer.substr(0, size);
  m_buffer.erase(0, size);
  return ReadResult::kData;
}

std::string QueryValue(std::string_view target, std::string_view name) {
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string_view pair = target.substr(begin, at - begin);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name || equals == std::string_view::npos) {
      continue;
    }
    std::string value;
    for (std::size_t i = equals + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        value.push_back(
            static_cast<char>(std::stoi(std::string(pair.substr(i + 1, 2)), nullptr, 16)));
        i += 2;
      } else {
        value.push_back(pair[i]);
      }
    }
    return value;
  }
  return {};
}

std::string Base64Encode(std::string_view bytes) {
  std::string text;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char byte : bytes) {
    bits = bits << 8U | static_cast<unsigned char>(byte);
    for (count += 8; count >= 6; count -= 6) {
      text.push_back(kBase64[bits >> static_cast<unsigned>(count - 6) & 63U]);
    }
  }
  if (count > 0) {
    text.push_back(kBase64[bits << static_cast<unsigned>(6 - count) & 63U]);
  }
  while (text.size() % 4 != 0) {
    text.push_back('=');
  }
  return text;
}

std::string Base64Decode(std::string_view text) {
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char character : text) {
    const std::size_t digit = kBase64.find(character);
    if (digit == std::string_view::npos) {
      break;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(digit);
    if ((count += 6) >= 8) {
      count -= 8;
      bytes.push_back(static_cast<char>(bits >> static_cast<unsigned>(count) & 255U));
    }
  }
  return bytes;
}

std::string MakeResponse(int status, const Headers& headers, std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return text.append(body);
}

}  // namespace review
