#include "agent/endpoint_orders.h"

#include <optional>

#include "absl/strings/numbers.h"
#include "agent/log_events.h"

namespace wagtailwind::agent {

namespace {

// Two processes of one endpoint race for the fence only around a replacement.
constexpr int kMaxRaiseAttempts = 8;

std::uint64_t NumberOf(const std::optional<platform::VersionedValue>& value) {
  std::uint64_t number = 0;
  return value && absl::SimpleAtoi(value->value, &number) ? number : 0;
}

}  // namespace

EndpointOrders::EndpointOrders(const EndpointName& endpoint, endpoint::ModelEngine& engine,
                               platform::KeyValueService& key_values)
    : m_key("fence/" + endpoint.value()), m_engine(engine), m_key_values(key_values) {}

bool EndpointOrders::RaiseFence() {
  if (m_fencing_number != 0 || m_lost) {
    return m_fencing_number != 0;
  }
  try {
    for (int attempt = 0; attempt < kMaxRaiseAttempts; ++attempt) {
      const std::optional<platform::VersionedValue> present = m_key_values.Get(m_key);
      const std::uint64_t number = NumberOf(present) + 1;
      const platform::SwapResult result = m_key_values.CompareAndSwap(
          m_key, present ? present->revision : 0, std::to_string(number));
      if (result.swapped) {
        m_fencing_number = number;
        Log(kFenceRaised, {{"key", m_key}, {"number", number}});
        return true;
      }
    }
  } catch (const Error& error) {
    // A write whose answer was lost may have raised the fence. The next call raises it once more,
    // so the number of the lost write is never used.
    Log(kFenceUnavailable, {{"key", m_key}, {"cause", error.what()}});
  }
  return false;
}

void EndpointOrders::SetTarget(const ModelName& model, std::string_view version) {
  m_target[model.value()] = version;
}

bool EndpointOrders::HoldsFence() {
  if (m_fencing_number == 0) {
    return false;
  }
  try {
    const std::uint64_t present = NumberOf(m_key_values.Get(m_key));
    if (present <= m_fencing_number) {
      return present == m_fencing_number;
    }
    Log(kFenceLost, {{"key", m_key}, {"number", present}});
    m_fencing_number = 0;
    m_lost = true;
  } catch (const Error& error) {
    Log(kFenceUnavailable, {{"key", m_key}, {"cause", error.what()}});
  }
  return false;
}

bool EndpointOrders::Apply() {
  bool applied = true;
  for (const auto& [model, version] : m_target) {
    // Read before each order, for engines that don't check the number themselves.
    if (!HoldsFence()) {
      return false;
    }
    if (!m_engine.OrderLoad(ModelName(model), version, m_fencing_number)) {
      Log(kOrderRefused, {{"model", model}, {"version", version}});
      applied = false;
    }
  }
  return applied;
}

}  // namespace wagtailwind::agent
