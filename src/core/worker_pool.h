#ifndef WAGTAILWIND_CORE_WORKER_POOL_H_
#define WAGTAILWIND_CORE_WORKER_POOL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace wagtailwind {

/// \brief A fixed number of threads that run jobs from a bounded queue.
class WorkerPool {
 public:
  /// \brief Starts the threads. At most max_queued jobs wait.
  WorkerPool(std::size_t threads, std::size_t max_queued);

  /// \brief Runs the jobs that wait, then joins the threads.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// \brief Queues a job; false if the queue is full or the pool stops. A job must not throw.
  [[nodiscard]] bool Submit(std::function<void()> job);

  /// \brief Number of jobs that wait.
  [[nodiscard]] std::size_t Queued() const;

 private:
  void Run();

  const std::size_t m_max_queued;
  mutable absl::Mutex m_mutex;
  std::deque<std::function<void()>> m_jobs ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads;
};

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_WORKER_POOL_H_
