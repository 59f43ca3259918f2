#ifndef WAGTAILWIND_AGENT_FLOW_CORE_H_
#define WAGTAILWIND_AGENT_FLOW_CORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "agent/agent_call.h"
#include "agent/answer_store.h"
#include "agent/attempt_table.h"
#include "agent/result_table.h"
#include "agent/service_health.h"
#include "core/clock.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "endpoint/model_engine.h"
#include "endpoint/plain_service.h"
#include "gossip/member.h"
#include "placement/admission_gate.h"
#include "placement/home_pointers.h"
#include "placement/prefix_directory.h"
#include "records/configuration_view.h"
#include "requests/claim_log.h"

namespace wagtailwind::agent {

/// \brief Dependencies of the request path of an agent. All of them must outlive the flow.
struct FlowDependencies {
  placement::AdmissionGate& gate;
  placement::HomePointers& homes;
  const records::ConfigurationView& configuration;
  const Clock& clock;
  RandomSource& random;
  MetricsRegistry& metrics;
  /// Null unless the agent's endpoint is a model engine.
  endpoint::ModelEngine* engine = nullptr;
  /// Null unless the agent's endpoint is a plain service.
  endpoint::PlainService* service = nullptr;
  /// Needed for calls that are not repeatable; they are refused if it is null.
  requests::ClaimLog* claims = nullptr;
};

/// \brief Settings of the request path.
struct FlowSettings {
  gossip::EndpointAdvertisement endpoint;
  Incarnation incarnation = 0;
  AnswerLimits answers;
  ResultLimits results;
  /// A generation is cancelled after this time without a reader.
  std::chrono::milliseconds max_unread{30'000};
  std::size_t max_remembered_attempts = 32'768;
};

/// \brief State that the executions of one agent share. Safe to use from several threads.
class FlowCore {
 public:
  FlowCore(FlowDependencies flow_parts, FlowSettings flow_settings);

  /// \brief Adds an execution and its reservation at the gate; returns the execution's number.
  [[nodiscard]] std::uint64_t Add(std::shared_ptr<Execution> execution, std::uint64_t reservation);

  /// \brief Ends the answer, releases the reservation and removes the execution.
  void Finish(std::uint64_t number, StoredAnswer& answer, AnswerEnd end);

  [[nodiscard]] std::vector<std::shared_ptr<Execution>> Running() const;
  [[nodiscard]] std::size_t RunningCount() const;

  /// \brief Waits until no execution is running; returns false on timeout.
  [[nodiscard]] bool WaitIdle(std::chrono::milliseconds timeout) const;

  const FlowDependencies parts;
  const FlowSettings settings;
  AnswerStore answers;
  ResultTable results;
  AttemptTable attempts;
  const std::unique_ptr<placement::PrefixDirectory> prefixes;
  ServiceHealth service_health;

 private:
  struct Entry {
    std::shared_ptr<Execution> execution;
    std::uint64_t reservation = 0;
  };

  mutable absl::Mutex m_mutex;
  std::map<std::uint64_t, Entry> m_running ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_next_number ABSL_GUARDED_BY(m_mutex) = 1;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_FLOW_CORE_H_
