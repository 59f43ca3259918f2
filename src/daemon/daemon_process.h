#ifndef WAGTAILWIND_DAEMON_DAEMON_PROCESS_H_
#define WAGTAILWIND_DAEMON_DAEMON_PROCESS_H_

#include <memory>
#include <string>

#include "settings/settings.h"

namespace wagtailwind::daemon {

/// \brief A running daemon in the router or agent role. The constructor of an implementation starts
/// it.
class DaemonProcess {
 public:
  virtual ~DaemonProcess() = default;

  /// \brief Returns the listening addresses as the line of JSON that the daemon prints once it
  /// listens.
  [[nodiscard]] virtual std::string ReadyLine() const = 0;

  /// \brief Stops gracefully and blocks until done. Returns false if requests were aborted because
  /// the drain timeout passed.
  [[nodiscard]] virtual bool Stop() = 0;
};

/// \brief Starts a router. `settings` must outlive it. Throws an Error.
[[nodiscard]] std::unique_ptr<DaemonProcess> StartRouter(const settings::Settings& settings);

/// \brief Starts an agent. `settings` must outlive it. Throws an Error.
[[nodiscard]] std::unique_ptr<DaemonProcess> StartAgent(const settings::Settings& settings);

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_DAEMON_PROCESS_H_
