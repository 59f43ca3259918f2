#ifndef WAGTAILWIND_FORWARD_TRAFFIC_SHARE_H_
#define WAGTAILWIND_FORWARD_TRAFFIC_SHARE_H_

namespace wagtailwind::forward {

/// \brief Estimate of the number of routers that share the traffic evenly with this one.
///
/// Nothing tells a router how many others there are, but endpoints report the requests of all of
/// them with their answers.
class TrafficShare {
 public:
  /// \brief At the arrival of a request: requests in flight of this router at the endpoints of a
  /// service, and those of the other routers.
  void OnRequest(double own, double others) noexcept;

  /// \brief Routers, at least as many as in the smallest deployment that is planned for.
  [[nodiscard]] double Routers() const noexcept;

 private:
  double m_own = 0;
  double m_others = 0;
};

}  // namespace wagtailwind::forward

#endif  // WAGTAILWIND_FORWARD_TRAFFIC_SHARE_H_
