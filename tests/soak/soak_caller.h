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

/// \brief What a caller needs to know of the fleet.
class CallerWorld {
 public:
  virtual ~CallerWorld() = default;

  /// \brief A router that takes new connections and its address; empty if there is none.
  [[nodiscard]] virtual std::optional<std::pair<std::size_t, std::string>> PickRouter() = 0;

  /// \brief The next request to send; `router` and `sent` are filled in by the caller.
  [[nodiscard]] virtual SoakRequest NextRequest() = 0;
};

/// \brief A caller that sends one request after the other, on one connection for as long as that
/// stays open. Leaves some streams before their end.
class SoakCaller final : private http1::ResponseObserver {
 public:
  SoakCaller(net::EventLoop& loop, RandomSource& random, const forward::WireNames& names,
             CallerWorld& world, Ledger& ledger);

 private:
  void Next();
  void Finish();
  void PauseThenNext();
  void DropConnection();

  [[nodiscard]] bool OnResponseHead(http1::MessageHead head) override;
  void OnResponseBody(std::string_view part) override;
  void OnResponseEnd(bool reusable) override;
  void OnConnectionEnd(http1::ConnectionEnd end, std::string_view detail) override;

  net::EventLoop& m_loop;
  RandomSource& m_random;
  const forward::WireNames& m_names;
  CallerWorld& m_world;
  Ledger& m_ledger;
  SystemClock m_clock;
  std::unique_ptr<http1::ClientConnection> m_connection;
  std::size_t m_router = 0;
  SoakRequest* m_request = nullptr;
  net::Timer m_next;
  net::Timer m_leave;
};

}  // namespace wagtailwind::soak

#endif  // WAGTAILWIND_TESTS_SOAK_SOAK_CALLER_H_
