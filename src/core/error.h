#ifndef WAGTAILWIND_CORE_ERROR_H_
#define WAGTAILWIND_CORE_ERROR_H_

#include <stdexcept>
#include <string>

namespace wagtailwind {

/// \brief Base class of all exceptions of this project. Each kind of failure has its own subclass.
class Error : public std::runtime_error {
 public:
  /// \brief Stable name of the failure, used in logs, JSON error bodies and the documentation.
  [[nodiscard]] virtual const char* name() const noexcept = 0;

 protected:
  using std::runtime_error::runtime_error;
};

namespace detail {

/// \brief Implements name() with the Tag's `static constexpr const char* kName`.
template <typename Tag, typename Base = Error>
class NamedError : public Base {
 public:
  explicit NamedError(const std::string& message) : Base(message) {}

  [[nodiscard]] const char* name() const noexcept override { return Tag::kName; }
};

}  // namespace detail

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_ERROR_H_
