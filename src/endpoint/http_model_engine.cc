#include "endpoint/http_model_engine.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "endpoint/log_events.h"

namespace wagtailwind::endpoint {

namespace {

constexpr std::chrono::milliseconds kControlTimeout{2'000};
constexpr int kStatusOk = 200;
constexpr const char* kStreamIdHeader = "Wagtailwind-Stream-Id";
constexpr const char* kCachedTokensHeader = "Wagtailwind-Cached-Tokens";
constexpr const char* kPriorityRankHeader = "Wagtailwind-Priority-Rank";
constexpr const char* kRequestIdHeader = "Wagtailwind-Request-Id";

/// Forwards a transfer to a generation sink. Checks that a resumed stream has the expected id, so
/// that the bytes of two generations are never joined.
class GenerationReceiver final : public TransferReceiver {
 public:
  GenerationReceiver(std::shared_ptr<GenerationSink> sink, std::string expected_stream)
      : m_sink(std::move(sink)), m_expected_stream(std::move(expected_stream)) {}

  void OnHead(int status, const std::vector<http::Header>& headers) override {
    const std::string_view stream = http::FindHeader(headers, kStreamIdHeader);
    if (status == kStatusOk && !m_expected_stream.empty() && stream != m_expected_stream) {
      Log(kStreamMismatch, {{"expected", m_expected_stream}, {"received", stream}});
      m_mismatch = true;
      return;
    }
    const std::string_view cached_text = http::FindHeader(headers, kCachedTokensHeader);
    std::uint32_t cached_tokens = 0;
    if (!absl::SimpleAtoi(absl::string_view(cached_text.data(), cached_text.size()),
                          &cached_tokens)) {
      cached_tokens = 0;
    }
    m_sink->OnAccepted(status, stream, cached_tokens);
  }

  void OnBody(std::string_view data) override {
    if (!m_mismatch) {
      m_sink->OnData(data);
    }
  }

  void OnEnd(TransferEnd end) override {
    m_sink->OnEnd(m_mismatch ? TransferEnd::kMalformedAnswer : end);
  }

 private:
  std::shared_ptr<GenerationSink> m_sink;
  std::string m_expected_stream;
  bool m_mismatch = false;
};

class DiscardingReceiver final : public TransferReceiver {
 public:
  void OnHead(int /*status*/, const std::vector<http::Header>& /*headers*/) override {}
  void OnBody(std::string_view /*data*/) override {}
  void OnEnd(TransferEnd /*end*/) override {}
};

std::string StreamTarget(std::string_view stream_id) {
  return "/v1/streams/" + std::string(stream_id);
}

}  // namespace

HttpModelEngine::HttpModelEngine(std::string address, TransferLoop& loop,
                                 std::size_t max_answer_bytes)
    : m_address(std::move(address)),
      m_loop(loop),
      m_max_answer_bytes(max_answer_bytes),
      m_client(m_address) {}

std::shared_ptr<Transfer> HttpModelEngine::Generate(const GenerationRequest& request,
                                                    std::shared_ptr<GenerationSink> sink) {
  TransferRequest transfer;
  transfer.method = "POST";
  transfer.address = m_address;
  transfer.target = "/v1/chat/completions";
  transfer.headers = {{"Content-Type", "application/json"},
                      {kRequestIdHeader, ToHex(request.request_id)},
                      {kPriorityRankHeader, std::to_string(request.priority_rank)}};
  transfer.body = request.body;
  transfer.timeout = request.timeout;
  transfer.max_answer_bytes = m_max_answer_bytes;
  return m_loop.Start(std::move(transfer),
                      std::make_shared<GenerationReceiver>(std::move(sink), std::string()));
}

std::shared_ptr<Transfer> HttpModelEngine::Resume(std::string_view stream_id, std::uint64_t offset,
                                                  std::chrono::milliseconds timeout,
                                                  std::shared_ptr<GenerationSink> sink) {
  TransferRequest transfer;
  transfer.method = "GET";
  transfer.address = m_address;
  transfer.target = StreamTarget(stream_id) + "?offset=" + std::to_string(offset);
  transfer.timeout = timeout;
  transfer.max_answer_bytes = m_max_answer_bytes;
  return m_loop.Start(std::move(transfer), std::make_shared<GenerationReceiver>(
                                               std::move(sink), std::string(stream_id)));
}

void HttpModelEngine::CancelStream(std::string_view stream_id) {
  TransferRequest transfer;
  transfer.method = "DELETE";
  transfer.address = m_address;
  transfer.target = StreamTarget(stream_id);
  transfer.timeout = kControlTimeout;
  (void)m_loop.Start(std::move(transfer), std::make_shared<DiscardingReceiver>());
}

std::optional<EngineStatus> HttpModelEngine::Status() {
  try {
    const http::Response response = m_client.Send("GET", "/v1/status", "", kControlTimeout);
    if (response.status != kStatusOk) {
      return std::nullopt;
    }
    const nlohmann::json document = nlohmann::json::parse(response.body);
    EngineStatus status;
    status.engine_incarnation = document.at("incarnation").get<std::string>();
    status.running = document.at("running").get<std::uint32_t>();
    status.waiting = document.at("waiting").get<std::uint32_t>();
    status.cache_tokens_used = document.at("cache_tokens_used").get<std::uint64_t>();
    status.cache_tokens_limit = document.at("cache_tokens_limit").get<std::uint64_t>();
    return status;
  } catch (const nlohmann::json::exception& error) {
    Log(kMalformedStatus, {{"address", m_address}, {"cause", error.what()}});
  } catch (const Error&) {
    // The engine could not be reached; the caller decides what that means for its health.
  }
  return std::nullopt;
}

bool HttpModelEngine::RequestModelLoad(const ModelName& model, std::string_view version,
                                       std::uint64_t fencing_number) {
  const nlohmann::json body = {{"model", model.value()},
                               {"version", std::string(version)},
                               {"fencing_token", fencing_number}};
  try {
    return m_client
               .Send("POST", "/v1/load", body.dump(), kControlTimeout,
                     {{"Content-Type", "application/json"}})
               .status == kStatusOk;
  } catch (const Error&) {
    return false;
  }
}

}  // namespace wagtailwind::endpoint
