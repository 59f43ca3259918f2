#include <sstream>
#include <string>

#include "cli/request_story.h"

// Included last: its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using wagtailwind::cli::BuildRequestTrace;
using wagtailwind::cli::ReadLogLines;
using wagtailwind::cli::RequestTrace;

std::string Line(const std::string& time, const std::string& process, const std::string& name,
                 const std::string& fields) {
  return R"({"time":"2026-12-04T10:00:)" + time + R"(Z","level":"info","event":1,"name":")" + name +
         R"(","process":")" + process + "\"" + (fields.empty() ? "" : "," + fields) + "}\n";
}

RequestTrace TraceOf(const std::string& text, std::size_t& malformed_lines) {
  std::istringstream input(text);
  return BuildRequestTrace(ReadLogLines(input, malformed_lines), "a1");
}

}  // namespace

// Guards against a trace that is out of order when the log files are, and against lines of other
// requests in it.
Test(explain, collects_the_lines_of_a_request_in_order) {
  std::size_t malformed_lines = 0;
  const RequestTrace trace =
      TraceOf(Line("02.500", "r2", "request_forwarded", R"("id":"a1")") +
                  Line("01.000", "r1", "attempt_failed", R"("id":"a1")") +
                  Line("01.500", "r1", "attempt_failed", R"("id":"b2")") + "not a log line\n",
              malformed_lines);
  cr_assert_eq(trace.request.size(), 2);
  cr_assert_eq(trace.request[0].process, std::string("r1"));
  cr_assert_eq(trace.request[1].process, std::string("r2"));
  cr_assert_eq(malformed_lines, 1);
}

// Guards against state events that come after the request, belong to other processes, or were
// superseded before the request.
Test(explain, shows_what_the_process_believed_before) {
  std::size_t malformed_lines = 0;
  const RequestTrace trace =
      TraceOf(Line("00.100", "r1", "configuration_in_force", R"("version":"1")") +
                  Line("00.200", "r1", "configuration_in_force", R"("version":"2")") +
                  Line("00.300", "r1", "key_value_lost", R"("feed":"endpoints")") +
                  Line("00.300", "r9", "key_value_lost", R"("feed":"endpoints")") +
                  "collector prefix " + Line("01.000", "r1", "request_refused", R"("id":"a1")") +
                  Line("01.100", "r1", "configuration_in_force", R"("version":"3")"),
              malformed_lines);
  cr_assert_eq(trace.prior_state.size(), 2);
  cr_assert_eq(trace.prior_state[0].fields["version"], "2");
  cr_assert_eq(trace.prior_state[1].name, std::string("key_value_lost"));
}

// Guards against a trace without an end: a router that is killed during the request logs none, so
// its restart must be shown.
Test(explain, shows_the_restart_of_a_process_that_ended_in_between) {
  std::size_t malformed_lines = 0;
  const RequestTrace trace = TraceOf(Line("00.100", "r1", "forwarder_started", "") +
                                         Line("01.000", "r1", "attempt_started", R"("id":"a1")") +
                                         Line("02.000", "r1", "forwarder_started", "") +
                                         Line("03.000", "r1", "forwarder_started", ""),
                                     malformed_lines);
  cr_assert_eq(trace.request.size(), 2);
  cr_assert_eq(trace.request[1].time, std::string("2026-12-04T10:00:02.000Z"));
}

// Guards against wrong durations across the end of a minute or a day.
Test(explain, measures_the_time_between_lines) {
  cr_assert_eq(
      wagtailwind::cli::MillisecondsBetween("2026-12-31T23:59:59.900Z", "2027-01-01T00:00:00.150Z"),
      250);
}
