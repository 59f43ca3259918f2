#include "core/worker_pool.h"

#include <utility>

namespace wagtailwind {

WorkerPool::WorkerPool(std::size_t threads, std::size_t max_queued) : m_max_queued(max_queued) {
  m_threads.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) {
    m_threads.emplace_back([this] { RunJobs(); });
  }
}

WorkerPool::~WorkerPool() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

bool WorkerPool::Submit(std::function<void()> job) {
  const absl::MutexLock lock(&m_mutex);
  if (m_stopping || m_jobs.size() >= m_max_queued) {
    return false;
  }
  m_jobs.push_back(std::move(job));
  return true;
}

std::size_t WorkerPool::Queued() const {
  const absl::MutexLock lock(&m_mutex);
  return m_jobs.size();
}

void WorkerPool::RunJobs() {
  const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
    return m_stopping || !m_jobs.empty();
  };
  while (true) {
    std::function<void()> job;
    {
      const absl::MutexLock lock(&m_mutex, absl::Condition(&ready));
      if (m_jobs.empty()) {
        return;
      }
      job = std::move(m_jobs.front());
      m_jobs.pop_front();
    }
    job();
  }
}

}  // namespace wagtailwind
