#include "balancing/traffic_share.h"

#include <algorithm>

namespace wagtailwind::balancing {

namespace {

// Weight of one request in the moving averages. They cover some hundred requests, so that a few
// long streams of this router do not look like a large share of the traffic.
constexpr double kSmoothingFactor = 1.0 / 256;

// Twice the number of routers of the smaller deployments. The reports are too coarse to distinguish
// small numbers of routers, and a retry share that is too small costs only a retry.
constexpr double kMinRouters = 16;

}  // namespace

void TrafficShare::OnRequest(double own, double others) noexcept {
  m_own += kSmoothingFactor * (own - m_own);
  m_others += kSmoothingFactor * (others - m_others);
}

double TrafficShare::EstimatedRouters() const noexcept {
  if (m_own <= 0) {
    return kMinRouters;
  }
  return std::max(kMinRouters, (m_own + m_others) / m_own);
}

}  // namespace wagtailwind::balancing
