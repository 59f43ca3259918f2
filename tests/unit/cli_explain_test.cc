#include <sstream>
#include <string>
#include <vector>

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

// Guards against a trace that doesn't say why an endpoint got no request, or until when: for each
// event by which a forwarder learns it, and for the events that end it.
Test(explain, names_what_ruled_an_endpoint_out_and_until_when) {
  struct Case {
    const char* name;
    const char* fields;
    const char* reason;
    /// Second of the minute; empty if the log tells no end.
    std::string until;
    double rate = 0;
    const char* end_name = "";
    const char* end_fields = "";
  };
  const std::vector<Case> cases = {
      {"endpoint_leaving", R"("endpoint":"e1","id":"b2")", "leaving", ""},
      {"endpoint_paused", R"("endpoint":"e1","id":"b2","asked_ms":"5000","left_ms":"5200")",
       "paused", "06.200"},
      {"endpoint_limit_changed", R"("endpoint":"e1","limited":"1","limit":"4","rate":"0.5")",
       "at_limit", "", 0.5},
      {"endpoint_cold", R"("endpoint":"e1","cold_ms":"4000","rate":"0")", "cold", "05.000"},
      {"endpoint_cold", R"("endpoint":"e1","cold_ms":"4000","rate":"0.25")", "cold", "05.000",
       0.25},
      {"zone_evacuated", R"("zone":"z1")", "evacuated", ""},
      {"endpoint_leaving", R"("endpoint":"e1")", "leaving", "03.000", 0, "endpoint_removed",
       R"("endpoint":"e1")"},
      {"endpoint_paused", R"("endpoint":"e1","left_ms":"5200")", "paused", "03.000", 0,
       "endpoint_removed", R"("endpoint":"e1")"},
      {"endpoint_limit_changed", R"("endpoint":"e1","limited":"1","rate":"0.5")", "at_limit",
       "03.000", 0.5, "endpoint_limit_changed", R"("endpoint":"e1","limited":"0","rate":"0")"},
      {"zone_evacuated", R"("zone":"z1")", "evacuated", "03.000", 0, "zone_restored",
       R"("zone":"z1")"},
      {"zone_evacuated", R"("zone":"z1")", "evacuated", "", 0, "zone_restored", R"("zone":"z2")"},
      {"zone_evacuated", R"("zone":"z1")", "evacuated", "03.000", 0, "forwarder_started", ""},
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const Case& test = cases[i];
    std::size_t malformed_lines = 0;
    std::string text = Line("01.000", "r1", test.name, test.fields) +
                       Line("02.000", "r1", "request_refused", R"("id":"a1")");
    if (*test.end_name != 0) {
      text += Line("03.000", "r1", test.end_name, test.end_fields);
    }
    const RequestTrace trace = TraceOf(text, malformed_lines);
    cr_assert_eq(trace.restricted.size(), 1, "case %zu", i);
    const auto& found = trace.restricted.front();
    cr_expect_eq(found.reason, std::string(test.reason), "case %zu", i);
    cr_expect_eq(found.process, std::string("r1"));
    cr_expect_eq(found.endpoint + found.zone,
                 std::string(found.reason == "evacuated" ? "z1" : "e1"));
    cr_expect_eq(found.since, std::string("2026-12-04T10:00:01.000Z"));
    cr_expect_eq(found.until,
                 test.until.empty() ? std::string() : "2026-12-04T10:00:" + test.until + "Z",
                 "case %zu: %s", i, found.until.c_str());
    cr_expect_eq(found.rate.value_or(0), test.rate, "case %zu", i);
  }
}

// Guards against reasons that did not hold at the time of the request: they had ended, began later,
// hold at another process, or were lost with a restart.
Test(explain, leaves_out_what_did_not_hold_at_the_time) {
  std::size_t malformed_lines = 0;
  const RequestTrace trace = TraceOf(
      Line("00.100", "r1", "endpoint_leaving", R"("endpoint":"e1")") +
          Line("00.200", "r1", "forwarder_started", "") +
          Line("00.300", "r1", "endpoint_paused", R"("endpoint":"e2","left_ms":"700")") +
          Line("00.400", "r1", "zone_evacuated", R"("zone":"z1")") +
          Line("00.500", "r1", "zone_restored", R"("zone":"z1")") +
          Line("00.600", "r2", "endpoint_leaving", R"("endpoint":"e3")") +
          Line("01.000", "r1", "attempt_started", R"("id":"a1","endpoint":"e5")") +
          Line("01.300", "r1", "endpoint_paused", R"("id":"a1","endpoint":"e5","left_ms":"900")") +
          Line("01.500", "r1", "request_forwarded", R"("id":"a1")") +
          Line("01.600", "r1", "endpoint_cold", R"("endpoint":"e4","cold_ms":"4000","rate":"0")"),
      malformed_lines);
  cr_assert_eq(trace.restricted.size(), 1);
  cr_assert_eq(trace.restricted.front().endpoint, std::string("e5"));
}

// Guards against an end that is too early where an endpoint names a second time before the first is
// over, and against joining pauses with a time between them.
Test(explain, joins_pauses_that_overlap) {
  std::size_t malformed_lines = 0;
  const RequestTrace trace =
      TraceOf(Line("00.100", "r1", "endpoint_paused", R"("endpoint":"e1","left_ms":"100")") +
                  Line("01.000", "r1", "endpoint_paused", R"("endpoint":"e1","left_ms":"5000")") +
                  Line("01.200", "r1", "endpoint_paused", R"("endpoint":"e1","left_ms":"1000")") +
                  Line("02.000", "r1", "request_refused", R"("id":"a1")") +
                  Line("02.500", "r1", "endpoint_paused", R"("endpoint":"e1","left_ms":"57500")"),
              malformed_lines);
  cr_assert_eq(trace.restricted.size(), 1);
  cr_assert_eq(trace.restricted.front().since, std::string("2026-12-04T10:00:01.000Z"));
  cr_assert_eq(trace.restricted.front().until, std::string("2026-12-04T10:01:00.000Z"));
}

// Guards against fields of another type than the forwarder writes, which must not end the command.
Test(explain, passes_over_restrictions_that_are_malformed) {
  std::size_t malformed_lines = 0;
  const RequestTrace trace =
      TraceOf(Line("00.100", "r1", "endpoint_paused", R"("endpoint":7,"left_ms":"100")") +
                  Line("00.200", "r1", "endpoint_paused", R"("endpoint":"e1","left_ms":"soon")") +
                  Line("00.300", "r1", "endpoint_cold", R"("endpoint":"e1","rate":[]})") +
                  Line("00.500", "r1", "zone_evacuated", R"("zone":null)") +
                  Line("02.000", "r1", "request_refused", R"("id":"a1")"),
              malformed_lines);
  cr_assert_eq(trace.request.size(), 1);
}

// Guards against wrong durations across the end of a minute or a day.
Test(explain, measures_the_time_between_lines) {
  cr_assert_eq(
      wagtailwind::cli::MillisecondsBetween("2026-12-31T23:59:59.900Z", "2027-01-01T00:00:00.150Z"),
      250);
  cr_assert_eq(wagtailwind::cli::AddMilliseconds("2026-12-31T23:59:59.900Z", 250),
               std::string("2027-01-01T00:00:00.150Z"));
}
