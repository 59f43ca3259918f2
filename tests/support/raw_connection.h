#ifndef WAGTAILWIND_TESTS_SUPPORT_RAW_CONNECTION_H_
#define WAGTAILWIND_TESTS_SUPPORT_RAW_CONNECTION_H_

#include <string>
#include <string_view>

namespace wagtailwind::testing {

/// \brief A TCP connection that a test reads and writes byte by byte.
class RawConnection {
 public:
  /// \brief Connects to `ip:port`. `receive_buffer` above 0 bounds the kernel's receive buffer.
  explicit RawConnection(std::string_view address, int receive_buffer = 0);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Write(std::string_view data) const;

  /// \brief Reads until the text has come, or the end; everything read so far.
  const std::string& ReadUntil(std::string_view text);

  /// \brief Reads to the end of the connection.
  const std::string& ReadToEnd();

 private:
  bool ReadSome();

  int m_socket = -1;
  std::string m_received;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_RAW_CONNECTION_H_
