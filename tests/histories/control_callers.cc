#include "histories/control_callers.h"

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>

#include "core/random_source.h"
#include "http/client.h"

namespace wagtailwind::histories {

namespace {

constexpr std::chrono::seconds kCallTimeout{10};
constexpr std::uint64_t kMaxPauseMs = 60;
// Time for the requests of a burst to reach the sockets of a paused router.
constexpr std::chrono::milliseconds kBurstSendTime{200};
constexpr int kOk = 200;

}  // namespace

ChatCallers::ChatCallers(std::string model, std::string organisation, std::uint64_t seed, int count)
    : m_model(std::move(model)), m_organisation(std::move(organisation)) {
  for (int i = 0; i < count; ++i) {
    m_threads.emplace_back(
        [this, i, seed] { Run(seed * 1'000 + 500 + static_cast<std::uint64_t>(i)); });
  }
}

void ChatCallers::SetRouters(std::vector<std::string> addresses) {
  const absl::MutexLock lock(&m_mutex);
  m_routers = std::move(addresses);
}

std::string ChatCallers::Router(std::uint64_t number) const {
  const absl::MutexLock lock(&m_mutex);
  return m_routers.empty() ? "" : m_routers[number % m_routers.size()];
}

void ChatCallers::Run(std::uint64_t seed) {
  SeededRandomSource random(seed);
  while (!m_stopping) {
    std::this_thread::sleep_for(std::chrono::milliseconds(random.NextBelow(kMaxPauseMs)));
    if (const std::string router = Router(random.Next()); !router.empty()) {
      SendOne(router, "chat-" + std::to_string(m_next_chat++));
    }
  }
}

void ChatCallers::SendOne(const std::string& router, const std::string& chat) {
  const nlohmann::json body{
      {"model", m_model}, {"max_tokens", 2}, {"messages", {{{"role", "user"}, {"content", chat}}}}};
  ExecutedRequest request;
  request.sent = NowMs();
  try {
    const http::Response response = http::Client(router).Send(
        "POST", "/v1/chat/completions", body.dump(), kCallTimeout,
        {{"Wagtailwind-Organisation", m_organisation}, {"Wagtailwind-Chat", chat}});
    request.answered = NowMs();
    request.endpoint = http::FindHeader(response.headers, "Wagtailwind-Served-By");
    if (response.status == kOk && !request.endpoint.empty()) {
      m_executed.Add(request);
    }
  } catch (const Error&) {
    // The router was killed, so the endpoint that ran the request is unknown.
  }
}

void ChatCallers::SendTo(const std::string& router, int count,
                         const std::function<void()>& on_sent) {
  std::vector<std::thread> senders;
  senders.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    senders.emplace_back(
        [this, &router] { SendOne(router, "burst-" + std::to_string(m_next_chat++)); });
  }
  std::this_thread::sleep_for(kBurstSendTime);
  on_sent();
  for (std::thread& sender : senders) {
    sender.join();
  }
}

void ChatCallers::Stop() {
  m_stopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

}  // namespace wagtailwind::histories
