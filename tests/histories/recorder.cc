#include "histories/recorder.h"

#include <chrono>

namespace wagtailwind::histories {

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace wagtailwind::histories
