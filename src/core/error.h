#ifndef WAGTAILWIND_CORE_ERROR_H_
#define WAGTAILWIND_CORE_ERROR_H_

#include <stdexcept>
#include <string>

namespace wagtailwind {

/// \brief Base of all errors of this project. Each failure has a type of its own below it.
class Error : public std::runtime_error {
 public:
  /// \brief Stable name of the failure, as in logs, JSON error bodies and the documentation.
  [[nodiscard]] virtual const char* name() const noexcept = 0;

 protected:
  using std::runtime_error::runtime_error;
};

namespace detail {

/// \brief Supplies name() from a Tag with a `static constexpr const char* kName`.
template <typename Tag, typename Base = Error>
class NamedError : public Base {
 public:
  explicit NamedError(const std::string& message) : Base(message) {}

  [[nodiscard]] const char* name() const noexcept override { return Tag::kName; }
};

}  // namespace detail

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_ERROR_H_
