#ifndef WAGTAILWIND_ROUTER_ANSWER_CHANNEL_H_
#define WAGTAILWIND_ROUTER_ANSWER_CHANNEL_H_

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "http/message.h"

namespace wagtailwind::router {

/// \brief Status and headers of an answer to a caller.
struct ResponseHead {
  int status = 200;
  std::vector<http::Header> headers;
  /// If true, the body is sent as it arrives; otherwise only when it is complete.
  bool streamed = false;
};

/// \brief Carries one answer from the request flow to the HTTP front end through a bounded buffer.
/// Safe to use from several threads. Callbacks run on the thread of the call that triggers them,
/// with no lock held.
class AnswerChannel {
 public:
  /// \brief The producer must wait while more than `limit` bytes are unread.
  explicit AnswerChannel(std::size_t limit) : m_limit(limit) {}

  /// \name Producer
  /// @{
  void SetHead(ResponseHead head);
  void Append(std::string_view data);

  /// \brief Calls `writable` once, as soon as the unread bytes are within the limit or the reader
  /// has disconnected.
  void WhenWritable(std::function<void()> writable);

  /// \brief Marks the end of the answer.
  void End();

  /// \brief Sets a callback that runs once if the reader disconnects before the end.
  void SetOnAbandoned(std::function<void()> abandoned);
  /// @}

  /// \name Reader
  /// @{

  /// \brief Calls `readable` once, as soon as there is something to send: bytes of a streamed
  /// answer, or the end.
  void WhenReadable(std::function<void()> readable);
  [[nodiscard]] bool IsReadable() const;

  /// \brief Whether WhenWritable() would call its callback immediately.
  [[nodiscard]] bool IsWritable() const;

  [[nodiscard]] ResponseHead Head() const;

  /// \brief Moves unread bytes to `buffer` and returns their number.
  [[nodiscard]] std::size_t Read(std::span<char> buffer);

  /// \brief Removes and returns all unread bytes.
  [[nodiscard]] std::string ReadAll();

  /// \brief Whether the answer has ended and all its bytes have been read.
  [[nodiscard]] bool AtEnd() const;

  /// \brief Reports that the caller has disconnected.
  void Abandon();
  /// @}

 private:
  [[nodiscard]] bool Readable() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  [[nodiscard]] std::size_t Unread() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  [[nodiscard]] bool Writable() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  void NotifyReadable();
  void NotifyWritable();

  const std::size_t m_limit;
  mutable absl::Mutex m_mutex;
  ResponseHead m_head ABSL_GUARDED_BY(m_mutex);
  std::string m_data ABSL_GUARDED_BY(m_mutex);
  std::size_t m_read_offset ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_ended ABSL_GUARDED_BY(m_mutex) = false;
  bool m_abandoned ABSL_GUARDED_BY(m_mutex) = false;
  std::function<void()> m_when_readable ABSL_GUARDED_BY(m_mutex);
  std::function<void()> m_when_writable ABSL_GUARDED_BY(m_mutex);
  std::function<void()> m_on_abandoned ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_ANSWER_CHANNEL_H_
