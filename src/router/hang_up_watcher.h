#ifndef WAGTAILWIND_ROUTER_HANG_UP_WATCHER_H_
#define WAGTAILWIND_ROUTER_HANG_UP_WATCHER_H_

#include <cstdint>
#include <memory>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "router/answer_channel.h"

namespace wagtailwind::router {

/// \brief Detects callers that disconnect while their connection is suspended, since the HTTP
/// library does not monitor suspended connections. Safe to use from several threads.
class HangUpWatcher {
 public:
  HangUpWatcher();
  ~HangUpWatcher();
  HangUpWatcher(const HangUpWatcher&) = delete;
  HangUpWatcher& operator=(const HangUpWatcher&) = delete;

  /// \brief Abandons the channel when the peer of a socket closes its sending side. Returns the
  /// id for Remove().
  [[nodiscard]] std::uint64_t Add(int socket, std::shared_ptr<AnswerChannel> channel);

  /// \brief Stops watching a socket. Must be called before the socket is closed.
  void Remove(std::uint64_t id);

 private:
  struct Entry {
    int socket;
    std::shared_ptr<AnswerChannel> channel;
  };

  void Run();
  [[nodiscard]] std::shared_ptr<AnswerChannel> FindChannel(std::uint64_t id);

  const int m_epoll;
  const int m_stop_event;
  absl::Mutex m_mutex;
  /// Id 0 identifies the stop event.
  std::uint64_t m_next_id ABSL_GUARDED_BY(m_mutex) = 1;
  absl::flat_hash_map<std::uint64_t, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
  std::thread m_thread;
};

}  // namespace wagtailwind::router

#endif  // WAGTAILWIND_ROUTER_HANG_UP_WATCHER_H_
