#ifndef WAGTAILWIND_ENDPOINT_HTTP_MODEL_ENGINE_H_
#define WAGTAILWIND_ENDPOINT_HTTP_MODEL_ENGINE_H_

#include <cstddef>
#include <memory>
#include <string>

#include "endpoint/model_engine.h"
#include "endpoint/transfer_loop.h"
#include "http/client.h"

namespace wagtailwind::endpoint {

/// \brief Client of a model engine with an HTTP interface.
class HttpModelEngine final : public ModelEngine {
 public:
  /// \brief Sends calls to `address`, given as `ip:port`. The loop must outlive this object.
  HttpModelEngine(std::string address, TransferLoop& loop,
                  std::size_t max_answer_bytes = std::size_t{1} << 20U);

  [[nodiscard]] std::shared_ptr<Transfer> Generate(const GenerationRequest& request,
                                                   std::shared_ptr<GenerationSink> sink) override;
  [[nodiscard]] std::shared_ptr<Transfer> Resume(std::string_view stream_id, std::uint64_t offset,
                                                 std::chrono::milliseconds timeout,
                                                 std::shared_ptr<GenerationSink> sink) override;
  void CancelStream(std::string_view stream_id) override;
  [[nodiscard]] std::optional<EngineStatus> Status() override;
  [[nodiscard]] bool RequestModelLoad(const ModelName& model, std::string_view version,
                                      std::uint64_t fencing_number) override;

 private:
  std::string m_address;
  TransferLoop& m_loop;
  std::size_t m_max_answer_bytes;
  http::Client m_client;
};

}  // namespace wagtailwind::endpoint

#endif  // WAGTAILWIND_ENDPOINT_HTTP_MODEL_ENGINE_H_
