#include "rpc/event_loop_thread.h"

#include <kj/async.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <future>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace wagtailwind::rpc {

struct EventLoopThread::State {
  absl::Mutex mutex;
  std::vector<std::function<void()>> posted ABSL_GUARDED_BY(mutex);
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  int event_fd = -1;
  kj::AsyncIoProvider* io = nullptr;
  kj::Timer* timer = nullptr;

  // Wakes the loop through an eventfd. kj::Executor is not used, because it requires an event loop
  // in the posting thread or blocks that thread until the function has run.
  void Wake() const {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(event_fd, &one, sizeof(one));
  }

  void Loop(std::promise<void>& ready) {
    kj::AsyncIoContext context = kj::setupAsyncIo();
    io = context.provider.get();
    timer = &context.provider->getTimer();
    kj::Own<kj::AsyncInputStream> wake_stream = context.lowLevelProvider->wrapInputFd(
        event_fd, kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                      kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    ready.set_value();
    std::uint64_t count = 0;
    bool stop = false;
    while (!stop) {
      wake_stream->read(&count, sizeof(count)).wait(context.waitScope);
      std::vector<std::function<void()>> functions;
      {
        const absl::MutexLock lock(&mutex);
        functions.swap(posted);
        stop = stopping;
      }
      for (const std::function<void()>& function : functions) {
        function();
      }
    }
  }
};

EventLoopThread::EventLoopThread() : m_state(std::make_unique<State>()) {
  m_state->event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  std::promise<void> ready;
  m_thread = std::thread([this, &ready] { m_state->Loop(ready); });
  ready.get_future().wait();
}

EventLoopThread::~EventLoopThread() {
  {
    const absl::MutexLock lock(&m_state->mutex);
    m_state->stopping = true;
  }
  m_state->Wake();
  m_thread.join();
  close(m_state->event_fd);
}

void EventLoopThread::Post(std::function<void()> function) {
  {
    const absl::MutexLock lock(&m_state->mutex);
    m_state->posted.push_back(std::move(function));
  }
  m_state->Wake();
}

void EventLoopThread::Run(const std::function<void()>& function) {
  std::promise<void> done;
  Post([&function, &done] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

kj::AsyncIoProvider& EventLoopThread::Io() noexcept { return *m_state->io; }

kj::Timer& EventLoopThread::Timer() noexcept { return *m_state->timer; }

}  // namespace wagtailwind::rpc
