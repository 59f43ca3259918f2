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

/// \brief What all callers of a run share.
struct CallerContext {
  const wagtailwind::testing::Deployment& deployment;
  std::vector<std::string> organisations;
  const AddressBoard& routers;
  Recorder<Call>& calls;
  /// No new calls.
  std::atomic<bool> stopping{false};
  /// All faults have ended.
  std::atomic<bool> healed{false};
};

/// \brief A caller: one thread that makes one call after another. Streams are resumed, and calls
/// are repeated with the same key, through any router.
class Caller {
 public:
  Caller(CallerContext& context, std::uint64_t number, std::uint64_t seed);

  /// \brief Makes calls until the context says stop, and finishes the last one.
  void Run();

  /// \name Single calls
  /// @{
  void Stream(std::uint32_t tokens, const std::function<void()>& on_bytes = {}, bool once = false);
  void Chat(std::uint32_t tokens);
  void OnceOnly(bool once = false);
  void Lookup();
  /// @}

  /// \brief Router of the next attempt; otherwise any.
  void PinRouter(std::size_t router) { m_pinned = static_cast<int>(router); }

 private:
  struct Position {
    std::string last_id;
    int reading = 0;
    int resumes = 0;
  };

  [[nodiscard]] Call NewCall(CallKind kind, const std::string& body);
  [[nodiscard]] std::string ChatBody(std::uint32_t tokens, bool stream);
  [[nodiscard]] CallerRequest NewRequest(const Call& call, const std::string& body);
  [[nodiscard]] static Attempt NewAttempt(const CallerRequest& request);
  static void ReadOutcome(const CallerResponse& response, Attempt& attempt);
  [[nodiscard]] EventReading StreamAttempt(Call& call, CallerRequest request, Position& position);
  static void AddServiceAttempt(Call& call, Attempt attempt, const CallerResponse& response);
  [[nodiscard]] CallerRequest NewServiceRequest(const Call& call, const std::string& body);
  void TwoAttemptsAtOnce(Call& call, const std::string& body);
  void OnceOnlyAttempt(Call& call, const std::string& body, bool may_hang_up);
  void RepeatOnceOnly();
  void SameKeyOfAnother(const Call& call);
  void ForeignResume(const Call& call, const std::string& event_id);
  [[nodiscard]] bool MayTryAgain();
  [[nodiscard]] bool OneIn(std::uint64_t n) { return m_random.Below(n) == 0; }
  [[nodiscard]] std::string NewKey();

  struct Done {
    Call call;
    std::string body;
  };

  CallerContext& m_context;
  const std::uint64_t m_number;
  SeededRandomSource m_random;
  std::uint64_t m_next = 1;
  int m_tries_after_heal = 0;
  int m_pinned = -1;
  std::vector<Done> m_once_only;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CALLER_H_
