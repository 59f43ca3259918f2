#ifndef WAGTAILWIND_ENDPOINT_TRANSFER_LOOP_H_
#define WAGTAILWIND_ENDPOINT_TRANSFER_LOOP_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "endpoint/model_engine.h"
#include "http/message.h"

namespace wagtailwind::endpoint {

/// \brief One HTTP request.
struct TransferRequest {
  std::string method;
  /// `ip:port`.
  std::string address;
  /// Path and query.
  std::string target;
  std::vector<http::Header> headers;
  std::string body;
  std::chrono::milliseconds timeout{30'000};
  std::size_t max_answer_bytes = std::size_t{1} << 20U;
};

/// \brief Receives an HTTP answer. Called on the loop's thread; implementations must not block.
class TransferReceiver {
 public:
  virtual ~TransferReceiver() = default;

  /// \brief Called when the headers are complete.
  virtual void OnHead(int status, const std::vector<http::Header>& headers) = 0;
  virtual void OnBody(std::string_view data) = 0;

  /// \brief Called at the end; no call follows.
  virtual void OnEnd(TransferEnd end) = 0;
};

/// \brief Runs all HTTP transfers to endpoints on one thread, with a libcurl multi handle. Safe to
/// use from several threads.
class TransferLoop {
 public:
  TransferLoop();

  /// \brief Cancels the transfers in progress, which end with kCancelled, and joins the thread.
  ~TransferLoop();

  TransferLoop(const TransferLoop&) = delete;
  TransferLoop& operator=(const TransferLoop&) = delete;

  /// \brief Starts a transfer; the receiver is called on the loop's thread.
  [[nodiscard]] std::shared_ptr<Transfer> Start(TransferRequest request,
                                                std::shared_ptr<TransferReceiver> receiver);

 private:
  struct State;
  std::shared_ptr<State> m_state;
  std::thread m_thread;
};

}  // namespace wagtailwind::endpoint

#endif  // WAGTAILWIND_ENDPOINT_TRANSFER_LOOP_H_
