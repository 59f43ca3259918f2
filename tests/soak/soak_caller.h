#ifndef WAGTAILWIND_TESTS_SOAK_SOAK_CALLER_H_
#define WAGTAILWIND_TESTS_SOAK_SOAK_CALLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/random_source.h"
#include "forward/wire_names.h"
#include "http1/client_connection.h"
#include "net/event_loop.h"
#include "soak/ledger.h"

namespace wagtailwind::soak {

/// \brief Supplies callers with routers and requests.
class Workload {
 public:
  virtual ~Workload() = default;

  /// \brief Returns the index and the address of a router that accepts connections, if any.
  [[nodiscard]] virtual std::optional<std::pair<std::size_t, std::string>> PickRouter() = 0;

  /// \brief Returns the next request to send. The caller sets `router` and `sent`.
  [[nodiscard]] virtual SoakRequest NextRequest() = 0;
};

/// \brief A caller that sends requests one after the other and reuses its connection while it is
/// open. It disconnects from some streams before their end.
class SoakCaller final : private http1::ResponseObserver {
 public:
  SoakCaller(net::EventLoop& loop, RandomSource& random, const forward::WireNames& names,
             Workload& workload, Ledger& ledger);

 private:
  void SendNext();
  void Finish();
  void ScheduleNext();
  void DropConnection();

  [[nodiscard]] bool OnResponseHead(http1::MessageHead head) override;
  void OnResponseBody(std::string_view part) override;
  void OnResponseEnd(bool reusable) override;
  void OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) override;

  net::EventLoop& m_loop;
  RandomSource& m_random;
  const forward::WireNames& m_names;
  Workload& m_workload;
  Ledger& m_ledger;
  SystemClock m_clock;
  std::unique_ptr<http1::ClientConnection> m_connection;
  std::size_t m_router = 0;
  SoakRequest* m_request = nullptr;
  net::Timer m_next_timer;
  net::Timer m_disconnect_timer;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_SOAK_CALLER_H_
