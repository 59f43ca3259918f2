#include "forward/crash_detector.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "net/tcp_stream.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// A host without a listener refuses a connection within a round trip. Without an answer, the host
// may be unreachable, which is no sign of a crash.
constexpr std::chrono::milliseconds kProbeTimeout = 500ms;

// Probes at the same time: more endpoints than a prompt can crash before it is quarantined. When a
// whole pool disappears, the prompts are not the cause.
constexpr std::size_t kMaxProbes = 32;

}  // namespace

/// \brief A connection attempt to an endpoint, and the prompts that it decides on.
class CrashDetector::Probe final : private net::StreamHandler {
 public:
  Probe(CrashDetector& detector, balancing::EndpointPtr probed)
      : endpoint(std::move(probed)),
        m_detector(detector),
        m_stream(detector.m_loop, *this),
        m_timeout(detector.m_loop, [this] { m_detector.EndProbe(endpoint.get(), false); }) {
    m_timeout.Start(kProbeTimeout);
    m_stream.Connect(endpoint->record.address);
  }

  const balancing::EndpointPtr endpoint;
  std::vector<balancing::SuspectPrompt> prompts;

 private:
  void OnConnected() override { m_detector.EndProbe(endpoint.get(), false); }
  void OnError(std::string_view error) override {
    m_detector.EndProbe(endpoint.get(), error == uv_strerror(UV_ECONNREFUSED));
  }
  void OnData(std::string_view /*data*/) override {}
  void OnEnd() override {}

  CrashDetector& m_detector;
  net::TcpStream m_stream;
  net::Timer m_timeout;
};

CrashDetector::CrashDetector(net::EventLoop& loop, CrashHandler on_crash)
    : m_loop(loop), m_on_crash(std::move(on_crash)) {}

CrashDetector::~CrashDetector() = default;

void CrashDetector::OnConnectionLost(const balancing::EndpointPtr& endpoint,
                                     balancing::SuspectPrompt prompt) {
  const auto found = m_probes.find(endpoint.get());
  if (found != m_probes.end()) {
    found->second->prompts.push_back(std::move(prompt));
  } else if (m_probes.size() < kMaxProbes) {
    auto probe = std::make_unique<Probe>(*this, endpoint);
    probe->prompts.push_back(std::move(prompt));
    m_probes.emplace(endpoint.get(), std::move(probe));
  }
}

void CrashDetector::EndProbe(const balancing::Endpoint* endpoint, bool is_crashed) {
  const auto found = m_probes.find(endpoint);
  const std::unique_ptr<Probe> probe = std::move(found->second);
  m_probes.erase(found);
  if (is_crashed) {
    m_on_crash(probe->endpoint, std::move(probe->prompts));
  }
}

}  // namespace wagtailwind::forward
