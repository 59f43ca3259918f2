// Requests that are refused while their service can't serve all in time.

#include <algorithm>
#include <charconv>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/message.h"
#include "support/forwarder_fixture.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using namespace std::chrono_literals;
using namespace wagtailwind;  // NOLINT(google-build-using-namespace)
using forward::RequestKind;
using settings::FeatureMode;
using testing::CallerAnswer;
using testing::ForwarderFixture;
using testing::HttpText;
using testing::ScriptedServer;
using testing::SignedHeaders;
using testing::TestRoute;

using Connection = ScriptedServer::Connection;

constexpr const char* kQueued = "8,4,8";
constexpr const char* kFree = "1,0,8";

/// Endpoint that answers after 300 ms, three times the objective, and reports a load.
struct SlowFleet : ForwarderFixture {
  explicit SlowFleet(FeatureMode mode, std::vector<std::string> rule_sets = {},
                     std::string load = kQueued)
      : endpoint(AddEndpoint("slow", [this](Connection& connection) { Hold(connection); })),
        m_load(std::move(load)),
        m_timer(loop, [this] { AnswerDue(); }) {
    settings.balancing.admission = mode;
    settings.rule_sets = std::move(rule_sets);
    Configure(TestRoute(RequestKind::kIdempotent, 2));
    m_timer.StartPeriodic(5ms);
  }

  /// Sends requests for two seconds, and waits for all answers.
  void SendMany(std::chrono::milliseconds interval = 20ms) {
    const std::int64_t requests = 2s / interval;
    for (std::int64_t i = 0; i < requests; ++i) {
      answers.push_back(Send("Attempt: a" + std::to_string(i) + "\r\n"));
      loop.RunFor(interval);
    }
    RunUntil([this] {
      return std::all_of(answers.begin(), answers.end(),
                         [](const auto& answer) { return answer->complete || answer->broken; });
    });
  }

  [[nodiscard]] int Count(int status) const {
    return static_cast<int>(
        std::count_if(answers.begin(), answers.end(),
                      [status](const auto& answer) { return answer->status == status; }));
  }

  [[nodiscard]] std::uint64_t Refusals() {
    return metrics.GetCounter("forward_admission_refused_total{priority=\"0\",reason=\"priority\"}")
               .value() +
           metrics
               .GetCounter(
                   "forward_admission_refused_total{priority=\"0\",reason=\"organisation_share\"}")
               .value();
  }

  ScriptedServer& endpoint;
  std::vector<std::shared_ptr<CallerAnswer>> answers;

 private:
  void Hold(Connection& connection) { m_held.emplace_back(&connection, clock.Now()); }

  void AnswerDue() {
    while (!m_held.empty() && clock.Now() - m_held.front().second >= 300ms) {
      Connection& connection = *m_held.front().first;
      m_held.pop_front();
      if (!connection.closed()) {
        connection.Write(HttpText(200, SignedHeaders(connection) + "Load: " + m_load + "\r\n", ""));
      }
    }
  }

  std::string m_load;
  std::deque<std::pair<Connection*, SteadyTime>> m_held;
  net::Timer m_timer;
};

double RetryAfterSeconds(const CallerAnswer& answer) {
  const std::string_view text = http::FindHeader(answer.headers, "Retry-After");
  double seconds = -1;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return seconds;
}

}  // namespace

// Guards against requests that are sent although the endpoint can't answer them in time, refusals
// of requests that have been sent, and times for which callers don't wait.
Test(forward_admission, refuses_before_anything_is_sent, .timeout = 30) {
  SlowFleet fleet(FeatureMode::kOn);
  fleet.Start();
  fleet.SendMany();
  const int refused = fleet.Count(503);
  cr_assert_gt(refused, 10);
  cr_assert_eq(fleet.Count(200) + refused, 100);
  cr_assert_eq(fleet.endpoint.requests + refused, 100);
  cr_assert_eq(fleet.Refusals(), refused);
  int with_time = 0;
  for (const auto& answer : fleet.answers) {
    if (answer->status == 503) {
      with_time += RetryAfterSeconds(*answer) >= 0 ? 1 : 0;
      cr_assert_leq(RetryAfterSeconds(*answer), 2.0 / 3);
    }
  }
  cr_assert_gt(with_time, 5);
}

// Guards against refusals in deployments that don't ask for them.
Test(forward_admission, acts_where_it_is_asked_for, .timeout = 60) {
  SlowFleet off(FeatureMode::kOff, {"scarcity"});
  off.Start();
  off.SendMany();
  cr_assert_eq(off.Count(200), 100);
  SlowFleet without_rules(FeatureMode::kAuto, {"others"});
  without_rules.Start();
  without_rules.SendMany();
  cr_assert_eq(without_rules.Count(200), 100);
  SlowFleet with_rules(FeatureMode::kAuto, {"others", "scarcity"});
  with_rules.Start();
  with_rules.SendMany();
  cr_assert_gt(with_rules.Count(503), 10);
}

// Guards against refusals of slow requests that free no capacity.
Test(forward_admission, refuses_nothing_while_slots_are_free, .timeout = 30) {
  SlowFleet fleet(FeatureMode::kOn, {}, kFree);
  fleet.Start();
  // Three of the eight slots are taken.
  fleet.SendMany(100ms);
  cr_assert_eq(fleet.Count(200), 20);
}

// Guards against refusals of a retry: a request that was admitted is sent to another endpoint if
// the first one is full.
Test(forward_admission, lets_retries_pass, .timeout = 30) {
  SlowFleet fleet(FeatureMode::kOn);
  // The budget of retries is not what this test is about.
  fleet.settings.bounds.retry_ratio = 10;
  fleet.settings.bounds.retry_slack = 10'000;
  int full = 0;
  fleet.AddEndpoint("full", [&full](Connection& connection) {
    ++full;
    connection.Write(HttpText(503, SignedHeaders(connection) + "Refused: 1\r\n", ""));
  });
  fleet.Start();
  fleet.SendMany();
  cr_assert_gt(full, 2);
  cr_assert_gt(fleet.Refusals(), 10);
  cr_assert_eq(fleet.Count(503), fleet.Refusals());
  cr_assert_eq(fleet.Count(200) + fleet.Count(503), 100);
}

// Guards against a Retry-After beyond the time that the caller waits when all endpoints are full.
Test(forward_admission, names_a_short_time_when_all_are_full, .timeout = 30) {
  SlowFleet fleet(FeatureMode::kOn, {}, kFree);
  fleet.Start();
  fleet.SendMany();
  fleet.endpoint.SetHandler([](Connection& connection) {
    connection.Write(HttpText(503, SignedHeaders(connection) + "Refused: 1\r\n", ""));
  });
  const auto answer = fleet.Call();
  cr_assert_eq(answer->status, 503);
  cr_assert_geq(RetryAfterSeconds(*answer), 0.05);
  cr_assert_leq(RetryAfterSeconds(*answer), 2.0 / 3);
}
