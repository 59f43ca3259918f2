#ifndef WAGTAILWIND_TESTS_HISTORIES_ADDRESS_BOARD_H_
#define WAGTAILWIND_TESTS_HISTORIES_ADDRESS_BOARD_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace wagtailwind::histories {

/// \brief Thread-safe list of the routers' current addresses. A router's address changes when it is
/// restarted.
class RouterAddressList {
 public:
  void Set(std::vector<std::string> addresses) {
    const absl::MutexLock lock(&m_mutex);
    m_addresses = std::move(addresses);
  }

  [[nodiscard]] std::string At(std::size_t index) const {
    const absl::MutexLock lock(&m_mutex);
    return m_addresses[index % m_addresses.size()];
  }

 private:
  mutable absl::Mutex m_mutex;
  std::vector<std::string> m_addresses ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_ADDRESS_BOARD_H_
