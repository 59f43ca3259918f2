#ifndef WAGTAILWIND_ENDPOINT_MODEL_ENGINE_H_
#define WAGTAILWIND_ENDPOINT_MODEL_ENGINE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace wagtailwind::endpoint {

/// \brief How a transfer to an endpoint ended.
enum class TransferEnd {
  kComplete,
  /// No byte of the request reached the endpoint.
  kNotSent,
  /// The connection was lost after sending may have begun.
  kConnectionLost,
  /// The answer violates the protocol, or it can't be determined whether it is complete.
  kMalformedAnswer,
  /// The answer exceeds the size limit; the rest was not read.
  kAnswerTooLarge,
  kDeadlineExceeded,
  kCancelled,
};

/// \brief Receives the output of a generation. Calls arrive in order, from one thread at a time.
class GenerationSink {
 public:
  virtual ~GenerationSink() = default;

  /// \brief Called when the engine's response starts. `stream_id` is used to resume or cancel the
  /// generation; `cached_tokens` is the number of prompt tokens found in the prefix cache. A status
  /// of 400 or more is followed by the error body.
  virtual void OnAccepted(int status, std::string_view stream_id, std::uint32_t cached_tokens) = 0;

  /// \brief Called with bytes of the answer in the format of the engine's protocol.
  virtual void OnData(std::string_view data) = 0;

  /// \brief Called at the end; no call follows.
  virtual void OnEnd(TransferEnd end) = 0;
};

/// \brief One request to an engine.
struct GenerationRequest {
  RequestId request_id{};
  /// The caller's JSON body.
  std::string body;
  bool stream = false;
  std::uint32_t priority_rank = 0;
  std::chrono::milliseconds timeout{30'000};
};

/// \brief A transfer in progress. Destroying the handle does not cancel the transfer.
class Transfer {
 public:
  virtual ~Transfer() = default;

  /// \brief Cancels the transfer; OnEnd(kCancelled) follows unless the transfer has already ended.
  virtual void Cancel() = 0;
};

/// \brief State reported by an engine.
struct EngineStatus {
  /// Differs after a restart of the engine.
  std::string engine_incarnation;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t cache_tokens_used = 0;
  std::uint64_t cache_tokens_limit = 0;
};

/// \brief Interface of a model engine. Calls don't block, except Status() and RequestModelLoad().
class ModelEngine {
 public:
  virtual ~ModelEngine() = default;

  /// \brief Starts a generation.
  [[nodiscard]] virtual std::shared_ptr<Transfer> Generate(
      const GenerationRequest& request, std::shared_ptr<GenerationSink> sink) = 0;

  /// \brief Continues a stream after `offset` bytes of its answer. If the engine does not know the
  /// stream (any more), OnAccepted() is called with status 404.
  [[nodiscard]] virtual std::shared_ptr<Transfer> Resume(std::string_view stream_id,
                                                         std::uint64_t offset,
                                                         std::chrono::milliseconds timeout,
                                                         std::shared_ptr<GenerationSink> sink) = 0;

  /// \brief Asks the engine to stop a stream; errors are ignored.
  virtual void CancelStream(std::string_view stream_id) = 0;

  /// \brief Reads the engine's state; returns nullopt if the engine does not answer.
  [[nodiscard]] virtual std::optional<EngineStatus> Status() = 0;

  /// \brief Orders the engine to load a model version. Returns false if the engine could not be
  /// reached, or refused the order, for example because of an old fencing number.
  [[nodiscard]] virtual bool RequestModelLoad(const ModelName& model, std::string_view version,
                                              std::uint64_t fencing_number) = 0;
};

}  // namespace wagtailwind::endpoint

#endif  // WAGTAILWIND_ENDPOINT_MODEL_ENGINE_H_
