#include "agent/endpoint_orders.h"

#include <chrono>
#include <thread>

#include "agent/log_events.h"
#include "core/mutant.h"
#include "records/fence.h"

namespace wagtailwind::agent {

namespace {

void Sleep(std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }

}  // namespace

EndpointOrders::EndpointOrders(const EndpointName& endpoint, endpoint::ModelEngine& engine,
                               platform::KeyValueService& key_values, RandomSource& random)
    : m_endpoint(endpoint), m_engine(engine), m_key_values(key_values), m_random(random) {}

bool EndpointOrders::RaiseFence() {
  if (IsMutantEnabled("order_without_fence")) {
    return true;
  }
  if (m_fencing_number != 0 || m_lost) {
    return m_fencing_number != 0;
  }
  try {
    m_fencing_number = records::RaiseFence(m_endpoint, m_key_values, m_random, Sleep);
    return true;
  } catch (const Error& error) {
    Log(kFenceUnavailable, {{"endpoint", m_endpoint.value()}, {"cause", error.what()}});
  }
  return false;
}

void EndpointOrders::SetTarget(const ModelName& model, std::string_view version) {
  m_target[model.value()] = version;
}

bool EndpointOrders::HoldsFence() {
  if (IsMutantEnabled("order_without_fence")) {
    return true;
  }
  if (m_fencing_number == 0) {
    return false;
  }
  try {
    const std::uint64_t present = records::ReadFence(m_endpoint, m_key_values);
    if (present <= m_fencing_number) {
      return present == m_fencing_number;
    }
    Log(kFenceLost, {{"endpoint", m_endpoint.value()}, {"number", present}});
    m_fencing_number = 0;
    m_lost = true;
  } catch (const Error& error) {
    Log(kFenceUnavailable, {{"endpoint", m_endpoint.value()}, {"cause", error.what()}});
  }
  return false;
}

bool EndpointOrders::Apply() {
  bool applied = true;
  for (const auto& [model, version] : m_target) {
    // Checked before each order, because some engines don't check the fencing number.
    if (!HoldsFence()) {
      return false;
    }
    if (!m_engine.RequestModelLoad(ModelName(model), version, m_fencing_number)) {
      Log(kOrderRefused, {{"model", model}, {"version", version}});
      applied = false;
    }
  }
  return applied;
}

}  // namespace wagtailwind::agent
