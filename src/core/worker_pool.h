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

/// \brief Fixed-size thread pool with a bounded job queue.
class WorkerPool {
 public:
  /// \brief Starts the threads. The queue holds at most max_queued jobs.
  WorkerPool(std::size_t threads, std::size_t max_queued);

  /// \brief Runs the queued jobs, then joins the threads.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// \brief Queues a job; false if the queue is full or the pool is stopping. A job must not throw.
  [[nodiscard]] bool Submit(std::function<void()> job);

  /// \brief Number of queued jobs that have not started.
  [[nodiscard]] std::size_t Queued() const;

 private:
  void RunJobs();

  const std::size_t m_max_queued;
  mutable absl::Mutex m_mutex;
  std::deque<std::function<void()>> m_jobs ABSL_GUARDED_BY(m_mutex);
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<std::thread> m_threads;
};

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_WORKER_POOL_H_
