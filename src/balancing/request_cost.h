#ifndef WAGTAILWIND_BALANCING_REQUEST_COST_H_
#define WAGTAILWIND_BALANCING_REQUEST_COST_H_

#include <optional>
#include <string_view>

namespace wagtailwind::balancing {

/// \brief Returns the work of a request at an engine in units of one prompt token, from a text
/// `prompt tokens,answer tokens`. Returns empty if the text is something else.
[[nodiscard]] std::optional<double> ParseRequestCost(std::string_view token_counts) noexcept;

/// \brief Moving average of the costs of the requests for a service.
class RequestCosts {
 public:
  /// \brief Adds a request and returns whether it costs at least as much as the average one.
  [[nodiscard]] bool IsCostly(double cost) noexcept;

 private:
  double m_mean = 0;
  bool m_has_mean = false;
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_REQUEST_COST_H_
