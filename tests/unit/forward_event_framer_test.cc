#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "forward/event_framer.h"

// Included last because its macros break the headers of Abseil.
#include <criterion/criterion.h>

namespace {

using wagtailwind::forward::EventFramer;
using Events = std::vector<std::pair<std::string, std::optional<std::uint64_t>>>;

void Feed(EventFramer& framer, std::string_view bytes, Events& events) {
  cr_assert(framer.Feed(bytes, [&events](std::string_view event, std::optional<std::uint64_t> id) {
    events.emplace_back(std::string(event), id);
  }));
}

}  // namespace

// Guards against partial events: a caller must get an event as a whole or not at all, wherever the
// bytes of the stream are split.
Test(event_framer, reports_whole_events_at_every_split) {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
  for (std::size_t split = 0; split <= stream.size(); ++split) {
    EventFramer framer;
    Events events;
    Feed(framer, std::string_view(stream).substr(0, split), events);
    Feed(framer, std::string_view(stream).substr(split), events);
    cr_assert_eq(events.size(), 3, "split at %zu", split);
    cr_assert_eq(events[0].first, std::string("id: 1\ndata: a\n\n"));
    cr_assert_eq(*events[0].second, 1);
    cr_assert_eq(*events[1].second, 2);
    cr_assert_not(events[2].second.has_value());
    cr_assert_eq(std::string(framer.Rest()), std::string("id: 4\nda"));
  }
}

// Guards against resuming from a number that is not an event id.
Test(event_framer, takes_only_whole_numbers_as_ids) {
  cr_assert_not(wagtailwind::forward::EventId("data: id: 7\n\n").has_value());
  cr_assert_not(wagtailwind::forward::EventId("id: x\n\n").has_value());
  cr_assert_eq(*wagtailwind::forward::EventId("event: e\nid:12\n\n"), 12);
}

// Guards against counting comments as progress of a stream, and against losing their bytes.
Test(event_framer, reports_comments_with_the_event_that_follows) {
  const std::string stream = ": one\n\n\r\n: two\r\n\r\nid: 1\ndata: a\n\n: three\n\n";
  for (std::size_t split = 0; split <= stream.size(); ++split) {
    EventFramer framer;
    Events events;
    Feed(framer, std::string_view(stream).substr(0, split), events);
    Feed(framer, std::string_view(stream).substr(split), events);
    cr_assert_eq(events.size(), 1, "split at %zu", split);
    cr_assert_eq(events[0].first + std::string(framer.Rest()), stream);
    cr_assert_eq(*events[0].second, 1);
  }
}

// Guards against a stream that fills the memory with an event that never ends.
Test(event_framer, refuses_an_event_over_the_limit) {
  for (const char* part : {"data: x\n", ": x\n\n", "\n\n", "x"}) {
    EventFramer framer;
    bool accepted = true;
    std::size_t fed = 0;
    while (accepted && fed <= 2 * EventFramer::kMaxEventBytes) {
      accepted = framer.Feed(part, [](std::string_view, std::optional<std::uint64_t>) {});
      fed += std::string_view(part).size();
    }
    cr_assert_leq(fed, EventFramer::kMaxEventBytes + std::string_view(part).size());
  }
}
