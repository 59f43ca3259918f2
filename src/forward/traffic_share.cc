#include "forward/traffic_share.h"

#include <algorithm>

namespace wagtailwind::forward {

namespace {

// Weight of one request in the means: they cover some hundred requests, so that a few long streams
// of this router do not look like a large share.
constexpr double kWeight = 1.0 / 256;

// Twice the routers of the smaller deployments. The reports are too coarse to tell few routers
// apart, and too small a share of the retries only costs a retry.
constexpr double kFewestRouters = 16;

}  // namespace

void TrafficShare::OnRequest(double own, double others) noexcept {
  m_own += kWeight * (own - m_own);
  m_others += kWeight * (others - m_others);
}

double TrafficShare::Routers() const noexcept {
  if (m_own <= 0) {
    return kFewestRouters;
  }
  return std::max(kFewestRouters, (m_own + m_others) / m_own);
}

}  // namespace wagtailwind::forward
