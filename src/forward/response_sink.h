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

/// \brief A request of a caller, read to its end.
struct CallerRequest {
  http1::MessageHead head;
  std::string body;
  /// When its first byte was read.
  SteadyTime received_at{};
};

/// \brief Takes the response to one request: either Respond(), or BeginStream() with any number of
/// StreamPart() and then EndStream() or Abort().
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  virtual void Respond(int status, const std::vector<http::Header>& headers,
                       std::string_view body) = 0;
  virtual void BeginStream(int status, const std::vector<http::Header>& headers) = 0;
  virtual void StreamPart(std::string_view part) = 0;
  virtual void EndStream() = 0;

  /// \brief Breaks the connection off, so that the response does not look complete.
  virtual void Abort() = 0;

  /// \brief Bytes that the caller has not taken yet.
  [[nodiscard]] virtual std::size_t QueuedBytes() const = 0;
};

/// \brief Handles one request. Destroying it cancels the request.
class RequestTask {
 public:
  virtual ~RequestTask() = default;

  virtual void Start() = 0;

  /// \brief The caller has taken all bytes.
  virtual void OnSinkDrained() = 0;

  /// \brief The caller has closed its connection. True if the task goes on by itself.
  [[nodiscard]] virtual bool OnCallerGone() = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_RESPONSE_SINK_H_
