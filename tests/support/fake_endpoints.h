#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_ENDPOINTS_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_ENDPOINTS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "endpoint/model_engine.h"
#include "endpoint/plain_service.h"

namespace wagtailwind::testing {

/// \brief A transfer that ends its sink with kCancelled as soon as it is cancelled.
class FakeTransfer final : public endpoint::Transfer {
 public:
  explicit FakeTransfer(std::shared_ptr<endpoint::GenerationSink> sink) : m_sink(std::move(sink)) {}

  void Cancel() override {
    if (const auto sink = std::exchange(m_sink, nullptr)) {
      sink->OnEnd(endpoint::TransferEnd::kCancelled);
    }
  }

 private:
  std::shared_ptr<endpoint::GenerationSink> m_sink;
};

/// \brief A model engine that records its calls. Tests send the answers through `sinks`. Not
/// thread-safe.
class FakeModelEngine final : public endpoint::ModelEngine {
 public:
  std::shared_ptr<endpoint::Transfer> Generate(
      const endpoint::GenerationRequest& request,
      std::shared_ptr<endpoint::GenerationSink> sink) override {
    generated.push_back(request);
    sinks.push_back(sink);
    return std::make_shared<FakeTransfer>(std::move(sink));
  }

  std::shared_ptr<endpoint::Transfer> Resume(
      std::string_view stream_id, std::uint64_t offset, std::chrono::milliseconds /*timeout*/,
      std::shared_ptr<endpoint::GenerationSink> sink) override {
    resumed.emplace_back(stream_id, offset);
    sinks.push_back(sink);
    return std::make_shared<FakeTransfer>(std::move(sink));
  }

  void CancelStream(std::string_view stream_id) override { cancelled.emplace_back(stream_id); }

  std::optional<endpoint::EngineStatus> Status() override { return status; }

  bool RequestModelLoad(const ModelName& model, std::string_view version,
                        std::uint64_t fencing_number) override {
    orders.emplace_back(model.value() + "/" + std::string(version), fencing_number);
    return true;
  }

  std::vector<endpoint::GenerationRequest> generated;
  std::vector<std::pair<std::string, std::uint64_t>> resumed;
  std::vector<std::shared_ptr<endpoint::GenerationSink>> sinks;
  std::vector<std::string> cancelled;
  std::optional<endpoint::EngineStatus> status;
  std::vector<std::pair<std::string, std::uint64_t>> orders;
};

/// \brief A plain service that answers at once or, if `hold` is set, when the test calls `pending`.
/// Not thread-safe.
class FakePlainService final : public endpoint::PlainService {
 public:
  void Send(endpoint::ServiceCall call,
            std::function<void(endpoint::ServiceAnswer)> done) override {
    calls.push_back(std::move(call));
    if (hold) {
      pending = std::move(done);
    } else {
      done(answer);
    }
  }

  endpoint::ServiceAnswer answer{endpoint::TransferEnd::kComplete, 200, {}, "confirmed"};
  bool hold = false;
  std::vector<endpoint::ServiceCall> calls;
  std::function<void(endpoint::ServiceAnswer)> pending;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_ENDPOINTS_H_
