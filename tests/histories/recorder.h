#ifndef WAGTAILWIND_TESTS_HISTORIES_RECORDER_H_
#define WAGTAILWIND_TESTS_HISTORIES_RECORDER_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace wagtailwind::histories {

/// \brief Wall-clock time in milliseconds, comparable between the processes of one machine.
[[nodiscard]] std::int64_t NowMs();

/// \brief Thread-safe collection of records.
template <typename Record>
class Recorder {
 public:
  void Add(Record record) {
    const absl::MutexLock lock(&m_mutex);
    m_records.push_back(std::move(record));
  }

  [[nodiscard]] std::vector<Record> Records() const {
    const absl::MutexLock lock(&m_mutex);
    return m_records;
  }

 private:
  mutable absl::Mutex m_mutex;
  std::vector<Record> m_records ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_RECORDER_H_
