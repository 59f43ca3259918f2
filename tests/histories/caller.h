#ifndef WAGTAILWIND_TESTS_HISTORIES_CALLER_H_
#define WAGTAILWIND_TESTS_HISTORIES_CALLER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "histories/address_board.h"
#include "histories/caller_http.h"
#include "histories/event_reader.h"
#include "histories/history.h"
#include "histories/recorder.h"
#include "support/fleet.h"

namespace wagtailwind::histories {

/// \brief State shared by all callers of a run.
struct CallerContext {
  const wagtailwind::testing::Deployment& deployment;
  std::vector<std::string> organisations;
  const RouterAddressList& routers;
  Recorder<Call>& calls;
  /// Callers start no new calls.
  std::atomic<bool> stopping{false};
  /// All faults have ended.
  std::atomic<bool> faults_ended{false};
};

/// \brief Makes one call after another on one thread. Resumes streams and repeats calls with the
/// same key through any router.
class Caller {
 public:
  Caller(CallerContext& context, std::uint64_t number, std::uint64_t seed);

  /// \brief Makes calls until `CallerContext::stopping` is set, then finishes the current call.
  void Run();

  /// \name Single calls
  /// With `single_attempt`, a call is a single attempt that is in flight during a planned stop.
  /// @{
  void Stream(std::uint32_t tokens, const std::function<void()>& on_bytes = {},
              bool single_attempt = false);
  void Chat(std::uint32_t tokens);
  void OnceOnly(bool single_attempt = false);
  void Lookup();
  /// @}

  /// \brief Sends all further attempts to one router. Without this, each attempt picks a random
  /// one.
  void PinRouter(std::size_t router) { m_pinned = static_cast<int>(router); }

 private:
  /// Progress of a streamed answer.
  struct StreamProgress {
    std::string last_id;
    int answer_number = 0;
    int resumes = 0;
  };

  [[nodiscard]] Call NewCall(CallKind kind, const std::string& body);
  [[nodiscard]] std::string ChatBody(std::uint32_t tokens, bool stream);
  [[nodiscard]] CallerRequest NewRequest(const Call& call, const std::string& body);
  [[nodiscard]] static Attempt NewAttempt(const CallerRequest& request);
  static void ReadOutcome(const CallerResponse& response, Attempt& attempt);
  [[nodiscard]] ParsedEvents SendStreamAttempt(Call& call, CallerRequest request,
                                               StreamProgress& progress);
  static void AddServiceAttempt(Call& call, Attempt attempt, const CallerResponse& response);
  [[nodiscard]] CallerRequest NewServiceRequest(const Call& call, const std::string& body);
  void SendTwoAttempts(Call& call, const std::string& body);
  void SendOnceOnlyAttempt(Call& call, const std::string& body, bool may_hang_up);
  void RepeatOnceOnly();
  void ReuseKeyInOtherOrganisation(const Call& call);
  void ResumeFromOtherOrganisation(const Call& call, const std::string& event_id);
  /// Waits before a retry. Returns false if the call has reached its limit of attempts.
  [[nodiscard]] bool WaitBeforeRetry();
  [[nodiscard]] bool OneIn(std::uint64_t n) { return m_random.NextBelow(n) == 0; }
  [[nodiscard]] std::string NewKey();

  struct OnceOnlyRecord {
    Call call;
    std::string body;
  };

  CallerContext& m_context;
  const std::uint64_t m_number;
  SeededRandomSource m_random;
  std::uint64_t m_next_call = 1;
  int m_attempts_after_faults = 0;
  int m_pinned = -1;
  std::vector<OnceOnlyRecord> m_once_only;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CALLER_H_
