#ifndef WAGTAILWIND_BALANCING_TRAFFIC_SHARE_H_
#define WAGTAILWIND_BALANCING_TRAFFIC_SHARE_H_

namespace wagtailwind::balancing {

/// \brief Estimates the number of routers, assuming that they share the traffic evenly.
///
/// A router is not told how many others there are, but endpoints report the requests of all routers
/// with their responses.
class TrafficShare {
 public:
  /// \brief Called when a request arrives, with the requests in flight at the endpoints of its
  /// service: those of this router, and those of the other routers.
  void OnRequest(double own, double others) noexcept;

  /// \brief Returns the estimate; at least the size of the smallest planned deployment.
  [[nodiscard]] double EstimatedRouters() const noexcept;

 private:
  double m_own = 0;
  double m_others = 0;
};

}  // namespace wagtailwind::balancing

#endif  // WAGTAILWIND_BALANCING_TRAFFIC_SHARE_H_
