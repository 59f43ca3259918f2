#ifndef WAGTAILWIND_FORWARD_RESPONSE_SINK_H_
#define WAGTAILWIND_FORWARD_RESPONSE_SINK_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "http/message.h"
#include "http1/message_parser.h"

namespace wagtailwind::forward {

/// \brief A request from a caller that has been read completely.
struct CallerRequest {
  http1::MessageHead head;
  std::string body;
  /// Time at which its first byte was read.
  SteadyTime received_at{};
};

/// \brief Receives the response to one request: either one call of Respond(), or BeginStream(), any
/// number of StreamPart(), and then EndStream() or Abort().
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  virtual void Respond(int status, const std::vector<http::Header>& headers,
                       std::string_view body) = 0;
  virtual void BeginStream(int status, const std::vector<http::Header>& headers) = 0;
  virtual void StreamPart(std::string_view part) = 0;
  virtual void EndStream() = 0;

  /// \brief Resets the connection once the caller has received what was written, so that the
  /// response does not look complete.
  virtual void Abort() = 0;

  /// \brief Returns the number of bytes that have not been sent to the caller yet.
  [[nodiscard]] virtual std::size_t QueuedBytes() const = 0;

  /// \brief Returns the bytes that are held until the caller reads them, including those that the
  /// kernel holds.
  [[nodiscard]] virtual std::size_t HeldBytes() const = 0;

  /// \brief Reduces the bytes that the kernel holds until the caller reads them.
  virtual void SaveMemory() = 0;
};

/// \brief Handles one request. Destroying the task cancels the request.
class RequestTask {
 public:
  virtual ~RequestTask() = default;

  virtual void Start() = 0;

  /// \brief Called when all queued bytes have been sent to the caller.
  virtual void OnSinkDrained() = 0;

  /// \brief Called when the caller has disconnected. Returns true if the task continues by itself.
  [[nodiscard]] virtual bool OnCallerDisconnected() = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_RESPONSE_SINK_H_
