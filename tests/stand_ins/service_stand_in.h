#ifndef WAGTAILWIND_TESTS_STAND_INS_SERVICE_STAND_IN_H_
#define WAGTAILWIND_TESTS_STAND_INS_SERVICE_STAND_IN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "http/server.h"
#include "stand_ins/history_file.h"

namespace wagtailwind::stand_ins {

/// \brief Simulates a service with repeatable lookups and calls that must not be repeated.
class ServiceStandIn {
 public:
  /// \brief Appends each execution to `history_file` before it is answered, unless the path is
  /// empty.
  explicit ServiceStandIn(std::string name, const std::string& history_file = "")
      : m_name(std::move(name)), m_history_file(history_file) {}

  [[nodiscard]] http::HandlerResult Handle(const http::Request& request);

 private:
  /// Faults set by POST /control.
  struct Faults {
    int fail_next = 0;
    int fail_status = 503;
    int cut_next = 0;
    int delay_next = 0;
    std::chrono::milliseconds delay_before{0};
    std::chrono::milliseconds delay_after{0};
    bool freeze = false;
  };
  struct Execution {
    std::uint64_t number = 0;
    std::string method;
    std::string path;
    std::string key;
    std::string body_hash;
    bool repeatable = false;
    std::int64_t start_ms = 0;
    std::int64_t end_ms = 0;
  };
  /// Faults of one call.
  struct CallFaults {
    int status = 0;
    bool cut = false;
    std::chrono::milliseconds delay_before{0};
    std::chrono::milliseconds delay_after{0};
  };

  http::HandlerResult HandleCall(const http::Request& request, bool repeatable);
  http::HandlerResult Control(const http::Request& request);
  http::HandlerResult History();
  [[nodiscard]] std::string HistoryLine(const Execution& execution) const;
  /// Waits while the service is frozen, then removes the faults of one call from the pending ones.
  [[nodiscard]] CallFaults ConsumeFaults(bool repeatable);
  [[nodiscard]] Execution Execute(const http::Request& request, bool repeatable);

  const std::string m_name;
  const HistoryFile m_history_file;
  absl::Mutex m_mutex;
  Faults m_faults ABSL_GUARDED_BY(m_mutex);
  std::vector<Execution> m_history ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_SERVICE_STAND_IN_H_
