#ifndef WAGTAILWIND_AGENT_AGENT_SERVICE_H_
#define WAGTAILWIND_AGENT_AGENT_SERVICE_H_

#include <cstdint>
#include <memory>

#include "agent/delivery_table.h"
#include "agent/execution_flow.h"
#include "rpc/event_loop_thread.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::agent {

/// \brief The RPC capability through which routers call an agent. Lives on the event loop.
class AgentService final : public rpc::schema::AgentService::Server {
 public:
  AgentService(rpc::EventLoopThread& loop, ExecutionFlow& flow,
               std::shared_ptr<DeliveryTable> deliveries);
  // Virtual because the destructor of the generated base class is not.
  virtual ~AgentService() = default;

 protected:
  kj::Promise<void> execute(ExecuteContext context) override;
  kj::Promise<void> resume(ResumeContext context) override;
  kj::Promise<void> chatMoved(ChatMovedContext context) override;

 private:
  struct PendingDecisions;

  [[nodiscard]] kj::Promise<Admission> RequestAdmission(AgentCall call);

  rpc::EventLoopThread& m_loop;
  ExecutionFlow& m_flow;
  std::shared_ptr<DeliveryTable> m_deliveries;
  std::shared_ptr<PendingDecisions> m_pending_decisions;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_AGENT_SERVICE_H_
