#ifndef WAGTAILWIND_DAEMON_DAEMON_PROCESS_H_
#define WAGTAILWIND_DAEMON_DAEMON_PROCESS_H_

#include <memory>
#include <string>

#include "settings/settings.h"

namespace wagtailwind::daemon {

/// \brief A daemon in one of its roles. The constructor of an implementation starts it.
class DaemonProcess {
 public:
  virtual ~DaemonProcess() = default;

  /// \brief The addresses in the form that the daemon prints when it listens.
  [[nodiscard]] virtual std::string ReadyLine() const = 0;

  /// \brief Stops gracefully; blocks. False if requests were cut at the bound.
  [[nodiscard]] virtual bool Stop() = 0;
};

/// \brief Starts a router. The settings outlive it. Throws an Error.
[[nodiscard]] std::unique_ptr<DaemonProcess> StartRouter(const settings::Settings& settings);

/// \brief Starts an agent. The settings outlive it. Throws an Error.
[[nodiscard]] std::unique_ptr<DaemonProcess> StartAgent(const settings::Settings& settings);

}  // namespace wagtailwind::daemon

#endif  // WAGTAILWIND_DAEMON_DAEMON_PROCESS_H_
