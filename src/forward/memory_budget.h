#ifndef WAGTAILWIND_FORWARD_MEMORY_BUDGET_H_
#define WAGTAILWIND_FORWARD_MEMORY_BUDGET_H_

#include <cstddef>

namespace wagtailwind::forward {

/// \brief Bytes that all buffers of one kind may hold together.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) noexcept : m_limit(limit) {}

  /// \brief Reserves memory; false if it would exceed the limit.
  [[nodiscard]] bool TryReserve(std::size_t bytes) noexcept {
    if (m_used + bytes > m_limit) {
      return false;
    }
    m_used += bytes;
    return true;
  }
  void Release(std::size_t bytes) noexcept { m_used -= bytes; }

  /// \brief Records that a buffer has changed its size. The limit may be exceeded, because the
  /// bytes have already been received.
  void Resize(std::size_t before, std::size_t after) noexcept { m_used += after - before; }

  [[nodiscard]] bool IsExhausted() const noexcept { return m_used >= m_limit; }
  [[nodiscard]] std::size_t used() const noexcept { return m_used; }

 private:
  std::size_t m_limit;
  std::size_t m_used = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_MEMORY_BUDGET_H_
