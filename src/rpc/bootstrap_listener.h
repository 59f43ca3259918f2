#ifndef WAGTAILWIND_RPC_BOOTSTRAP_LISTENER_H_
#define WAGTAILWIND_RPC_BOOTSTRAP_LISTENER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "rpc/event_loop_thread.h"
#include "rpc/wagtailwind.capnp.h"

namespace wagtailwind::rpc {

/// \brief Factories of the services at a process's RPC address. They are called on the event loop.
/// If one is empty, the method fails as not implemented.
struct BootstrapServices {
  std::function<schema::AgentService::Client()> agent;
  std::function<schema::PeerService::Client()> peer;
};

/// \brief Accepts RPC connections to a process.
class BootstrapListener {
 public:
  /// \brief Listens on `ip:port`. The loop must outlive this object. Throws http::ListenFailed.
  BootstrapListener(EventLoopThread& loop, std::string_view address, BootstrapServices services);

  /// \brief Closes the listener and all connections.
  ~BootstrapListener();

  BootstrapListener(const BootstrapListener&) = delete;
  BootstrapListener& operator=(const BootstrapListener&) = delete;

  /// \brief Returns the address with the bound port.
  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }

 private:
  struct State;
  EventLoopThread& m_loop;
  std::shared_ptr<State> m_state;
  std::string m_address;
};

}  // namespace wagtailwind::rpc

#endif  // WAGTAILWIND_RPC_BOOTSTRAP_LISTENER_H_
