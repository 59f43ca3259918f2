#ifndef WAGTAILWIND_ENDPOINT_PLAIN_SERVICE_H_
#define WAGTAILWIND_ENDPOINT_PLAIN_SERVICE_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "endpoint/model_engine.h"
#include "http/message.h"

namespace wagtailwind::endpoint {

/// \brief One HTTP call of a plain service.
struct ServiceCall {
  std::string method;
  /// Path with query.
  std::string path;
  std::vector<http::Header> headers;
  std::string body;
  std::chrono::milliseconds timeout{30'000};
  /// False: the call must be sent at most once, on a fresh connection, without automatic retry.
  bool repeatable = true;
};

/// \brief The whole answer of a plain service. Valid if `end` is kComplete.
struct ServiceAnswer {
  TransferEnd end = TransferEnd::kNotSent;
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  /// False: the call can't be written as HTTP, which says nothing about the service.
  bool is_sendable = true;
};

/// \brief A plain service beside the engines.
class PlainService {
 public:
  virtual ~PlainService() = default;

  /// \brief Sends the call; `done` is called once, from another thread.
  virtual void Send(ServiceCall call, std::function<void(ServiceAnswer)> done) = 0;
};

}  // namespace wagtailwind::endpoint

#endif  // WAGTAILWIND_ENDPOINT_PLAIN_SERVICE_H_
