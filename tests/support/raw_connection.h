#ifndef WAGTAILWIND_TESTS_SUPPORT_RAW_CONNECTION_H_
#define WAGTAILWIND_TESTS_SUPPORT_RAW_CONNECTION_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace wagtailwind::testing {

/// \brief A blocking TCP connection on which a test sends and receives raw bytes.
class RawConnection {
 public:
  /// \brief Connects to `ip:port`. A `receive_buffer` above 0 limits the kernel's receive buffer,
  /// in bytes.
  explicit RawConnection(std::string_view address, int receive_buffer = 0);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Write(std::string_view data) const;

  /// \brief Reads until the text has been received or the connection ends. Returns everything that
  /// was received so far.
  const std::string& ReadUntil(std::string_view text);

  /// \brief Reads until the connection ends. Returns everything that was received.
  const std::string& ReadToEnd();

  /// \brief Reads at most `limit` bytes of those that have already arrived.
  void ReadAvailable(std::size_t limit);

  /// \brief Returns everything that was received so far.
  [[nodiscard]] const std::string& received() const noexcept { return m_received; }

  /// \brief Returns whether ReadAvailable() has reached the end of the connection.
  [[nodiscard]] bool ended() const noexcept { return m_ended; }

 private:
  bool ReadSome();

  int m_socket = -1;
  std::string m_received;
  bool m_ended = false;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_RAW_CONNECTION_H_
