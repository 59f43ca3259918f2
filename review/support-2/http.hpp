#ifndef WAGTAILWIND_REVIEW_HTTP_HPP_
#define WAGTAILWIND_REVIEW_HTTP_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// \brief Milliseconds of the steady clock since the first call in this process.
[[nodiscard]] double NowMs();
void SleepMs(double milliseconds);

/// \brief Address on the loopback interface.
[[nodiscard]] std::string Address(std::uint16_t port);

/// \brief Opens a listener on 127.0.0.1; port 0 means any free port. Returns the descriptor.
[[nodiscard]] int Listen(std::uint16_t& port);

/// \brief Returns a port that was free a moment ago.
[[nodiscard]] std::uint16_t FreePort();

/// \brief Connects to 127.0.0.1; -1 if that fails.
[[nodiscard]] int Connect(std::uint16_t port, int timeout_ms);

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  /// Request or status line without its line end.
  std::string first_line;
  Headers headers;
  std::string body;

  [[nodiscard]] std::string Find(std::string_view name) const;
  [[nodiscard]] int Status() const;
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] std::string Target() const;
};

/// \brief Result of reading from a connection.
enum class ReadResult { kData, kEnd, kReset, kTimeout };

/// \brief Connection that reads messages with a length, in chunks, or until its end.
class Connection {
 public:
  explicit Connection(int descriptor) : m_descriptor(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// \brief Reads up to the end of the head. `deadline_ms` is a time of NowMs().
  [[nodiscard]] ReadResult ReadHead(Message& message, double deadline_ms);

  /// \brief Reads the body. kData means that it is complete.
  [[nodiscard]] ReadResult ReadBody(Message& message, double deadline_ms);

  [[nodiscard]] bool Write(std::string_view text);

  /// \brief Whether the peer has closed or reset the connection.
  [[nodiscard]] bool IsGone() const;

  /// \brief Closes the connection with a reset.
  void Reset();
  void Close();

  [[nodiscard]] int descriptor() const { return m_descriptor; }

 private:
  [[nodiscard]] ReadResult ReadMore(double deadline_ms);

  int m_descriptor;
  std::string m_buffer;
};

/// \brief Returns the value of a query parameter, decoded.
[[nodiscard]] std::string QueryValue(std::string_view target, std::string_view name);

[[nodiscard]] std::string Base64Encode(std::string_view bytes);
[[nodiscard]] std::string Base64Decode(std::string_view text);

/// \brief Returns a response with a length.
[[nodiscard]] std::string MakeResponse(int status, const Headers& headers, std::string_view body);

}  // namespace review

#endif  // WAGTAILWIND_REVIEW_HTTP_HPP_
