#include "router/hang_up_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace wagtailwind::router {

HangUpWatcher::HangUpWatcher()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_stop_event(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = 0;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_stop_event, &event);
  m_thread = std::thread([this] { Run(); });
}

HangUpWatcher::~HangUpWatcher() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(m_stop_event, &one, sizeof(one));
  m_thread.join();
  close(m_stop_event);
  close(m_epoll);
}

std::uint64_t HangUpWatcher::Add(int socket, std::shared_ptr<AnswerChannel> channel) {
  const absl::MutexLock lock(&m_mutex);
  const std::uint64_t id = m_next_id++;
  m_entries.emplace(id, Entry{socket, std::move(channel)});
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = id;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
  return id;
}

void HangUpWatcher::Remove(std::uint64_t id) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_entries.find(id);
  if (found != m_entries.end()) {
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, found->second.socket, nullptr);
    m_entries.erase(found);
  }
}

std::shared_ptr<AnswerChannel> HangUpWatcher::FindChannel(std::uint64_t id) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_entries.find(id);
  // The entry stays until Remove(), which removes the socket from the epoll set.
  return found == m_entries.end() ? nullptr : found->second.channel;
}

void HangUpWatcher::Run() {
  constexpr int kMaxEvents = 64;
  std::array<epoll_event, kMaxEvents> events{};
  while (true) {
    const int count = epoll_wait(m_epoll, events.data(), kMaxEvents, -1);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id == 0) {
        return;
      }
      if (const std::shared_ptr<AnswerChannel> channel = FindChannel(id)) {
        channel->Abandon();
      }
    }
  }
}

}  // namespace wagtailwind::router
