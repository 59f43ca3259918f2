#include <sstream>
#include <string>

#include "cli/request_story.h"

// Last: its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using wagtailwind::cli::FindRequest;
using wagtailwind::cli::ReadLogLines;
using wagtailwind::cli::RequestStory;

std::string Line(const std::string& time, const std::string& process, const std::string& name,
                 const std::string& fields) {
  return R"({"time":"2026-12-04T10:00:)" + time + R"(Z","level":"info","event":1,"name":")" + name +
         R"(","process":")" + process + "\"" + (fields.empty() ? "" : "," + fields) + "}\n";
}

RequestStory Read(const std::string& text, std::size_t& unreadable) {
  std::istringstream input(text);
  return FindRequest(ReadLogLines(input, unreadable), "a1");
}

}  // namespace

// Guards against a story out of order when log files are given in any order, and against lines of
// other requests.
Test(explain, collects_the_lines_of_a_request_in_order) {
  std::size_t unreadable = 0;
  const RequestStory story =
      Read(Line("02.500", "r2", "request_forwarded", R"("id":"a1")") +
               Line("01.000", "r1", "attempt_failed", R"("id":"a1")") +
               Line("01.500", "r1", "attempt_failed", R"("id":"b2")") + "not a log line\n",
           unreadable);
  cr_assert_eq(story.request.size(), 2);
  cr_assert_eq(story.request[0].process, std::string("r1"));
  cr_assert_eq(story.request[1].process, std::string("r2"));
  cr_assert_eq(unreadable, 1);
}

// Guards against beliefs from after the request, of other processes, or that were replaced since.
Test(explain, shows_what_the_process_believed_before) {
  std::size_t unreadable = 0;
  const RequestStory story =
      Read(Line("00.100", "r1", "configuration_in_force", R"("version":"1")") +
               Line("00.200", "r1", "configuration_in_force", R"("version":"2")") +
               Line("00.300", "r1", "key_value_lost", R"("feed":"endpoints")") +
               Line("00.300", "r9", "key_value_lost", R"("feed":"endpoints")") +
               "collector prefix " + Line("01.000", "r1", "request_refused", R"("id":"a1")") +
               Line("01.100", "r1", "configuration_in_force", R"("version":"3")"),
           unreadable);
  cr_assert_eq(story.beliefs.size(), 2);
  cr_assert_eq(story.beliefs[0].fields["version"], "2");
  cr_assert_eq(story.beliefs[1].name, std::string("key_value_lost"));
}

// Guards against a story without an end when a router was killed in the middle of the request.
Test(explain, shows_the_restart_of_a_process_that_ended_in_between) {
  std::size_t unreadable = 0;
  const RequestStory story = Read(Line("00.100", "r1", "forwarder_started", "") +
                                      Line("01.000", "r1", "attempt_started", R"("id":"a1")") +
                                      Line("02.000", "r1", "forwarder_started", "") +
                                      Line("03.000", "r1", "forwarder_started", ""),
                                  unreadable);
  cr_assert_eq(story.request.size(), 2);
  cr_assert_eq(story.request[1].time, std::string("2026-12-04T10:00:02.000Z"));
}

// Guards against ages that are wrong across a minute or a day.
Test(explain, measures_the_time_between_lines) {
  cr_assert_eq(
      wagtailwind::cli::MillisecondsBetween("2026-12-31T23:59:59.900Z", "2027-01-01T00:00:00.150Z"),
      250);
}
