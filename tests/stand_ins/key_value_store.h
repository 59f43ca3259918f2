#ifndef WAGTAILWIND_TESTS_STAND_INS_KEY_VALUE_STORE_H_
#define WAGTAILWIND_TESTS_STAND_INS_KEY_VALUE_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "http/server.h"

namespace wagtailwind::stand_ins {

/// \brief Faults and limits of the key-value stand-in; 0 means off.
struct KeyValueFaults {
  /// Drops every connection, including waiting watches.
  bool down = false;
  std::uint64_t slow_ms = 0;
  /// Applies the next N writes, but drops their connections without an answer.
  std::uint64_t lose_next_writes = 0;
  /// Drops the connections of the next N writes without applying them.
  std::uint64_t drop_next_writes = 0;
  /// Applies every k-th write, but drops its connection without an answer.
  std::uint64_t lose_every_write = 0;
  /// Reads return the previous value of a key.
  bool stale_reads = false;
  std::uint64_t writes_per_second = 0;
  std::uint64_t reads_per_second = 0;
};

/// \brief In-memory key-value service with its HTTP interface.
class KeyValueStore {
 public:
  [[nodiscard]] http::HandlerResult Handle(const http::Request& request);

 private:
  using Time = std::chrono::steady_clock::time_point;
  struct Entry {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    std::string previous_value;
    std::uint64_t previous_revision = 0;
  };
  struct Lease {
    std::chrono::milliseconds time_to_live{};
    Time end;
  };
  struct RateWindow {
    Time start;
    std::uint64_t count = 0;
  };
  /// A call in progress. Its fields are written to the history.
  struct Call {
    std::string kind;
    std::string key;
    std::uint64_t expected = 0;
    std::uint64_t revision = 0;
    std::uint64_t value_hash = 0;
    bool write = false;
    bool applied = false;
    bool answered = true;
    int status = 0;
  };
  using Lock = std::unique_lock<std::mutex>;

  [[nodiscard]] http::HandlerResult Control(const http::Request& request);
  [[nodiscard]] http::HandlerResult Stats();
  [[nodiscard]] http::HandlerResult Execute(const http::Request& request, Call& call, Lock& lock);
  [[nodiscard]] http::HandlerResult Get(Call& call);
  [[nodiscard]] http::HandlerResult Watch(const http::Request& request, Call& call, Lock& lock);
  [[nodiscard]] http::HandlerResult Put(const http::Request& request, Call& call);
  [[nodiscard]] http::HandlerResult ChangeLease(const http::Request& request, Call& call);
  /// Counts a call in the current one-second window. Returns false if it exceeds the limit; a limit
  /// of 0 means no limit.
  [[nodiscard]] bool TryConsumeRate(RateWindow& window, std::uint64_t limit);
  /// Counts a write. Returns true if its answer must be dropped.
  [[nodiscard]] bool ShouldDropAnswer();
  void EndLease(std::uint64_t lease);
  void EndExpiredLeases();
  void Record(const Call& call);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Entry> m_entries;
  std::map<std::uint64_t, Lease> m_leases;
  std::uint64_t m_revision = 0;
  std::uint64_t m_last_lease = 0;
  std::uint64_t m_writes = 0;
  KeyValueFaults m_faults;
  RateWindow m_write_window;
  RateWindow m_read_window;
  std::map<std::string, std::uint64_t> m_counts;
  std::uint64_t m_sequence = 0;
  std::deque<std::string> m_history;
};

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_KEY_VALUE_STORE_H_
