#ifndef WAGTAILWIND_ENDPOINT_PLAIN_SERVICE_H_
#define WAGTAILWIND_ENDPOINT_PLAIN_SERVICE_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "endpoint/model_engine.h"
#include "http/message.h"

namespace wagtailwind::endpoint {

/// \brief One HTTP call to a plain service.
struct ServiceCall {
  std::string method;
  /// Path and query.
  std::string path;
  std::vector<http::Header> headers;
  std::string body;
  std::chrono::milliseconds timeout{30'000};
  /// If false, the call must be sent at most once, on a new connection, without automatic retry.
  bool repeatable = true;
};

/// \brief The complete answer of a plain service. Status, headers and body are valid only if `end`
/// is kComplete.
struct ServiceAnswer {
  TransferEnd end = TransferEnd::kNotSent;
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  /// False if the call can't be written as HTTP; this says nothing about the health of the service.
  bool is_sendable = true;
};

/// \brief Interface of a plain service: an HTTP service that is not a model engine.
class PlainService {
 public:
  virtual ~PlainService() = default;

  /// \brief Sends the call. `done` is called once: from another thread, or before Send() returns if
  /// the call can't be written as HTTP.
  virtual void Send(ServiceCall call, std::function<void(ServiceAnswer)> done) = 0;
};

}  // namespace wagtailwind::endpoint

#endif  // WAGTAILWIND_ENDPOINT_PLAIN_SERVICE_H_
