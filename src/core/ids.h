#ifndef WAGTAILWIND_CORE_IDS_H_
#define WAGTAILWIND_CORE_IDS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailwind {

namespace detail {

/// \brief Strongly typed string: ids with different tags can't be assigned or compared.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) noexcept : m_value(std::move(value)) {}

  [[nodiscard]] const std::string& value() const noexcept { return m_value; }
  [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

  friend auto operator<=>(const StringId&, const StringId&) = default;

  template <typename H>
  friend H AbslHashValue(H state, const StringId& id) {
    return H::combine(std::move(state), id.m_value);
  }

 private:
  std::string m_value;
};

}  // namespace detail

using OrganisationName = detail::StringId<struct OrganisationTag>;
using ChatId = detail::StringId<struct ChatTag>;
using EndpointName = detail::StringId<struct EndpointTag>;
using InstanceName = detail::StringId<struct InstanceTag>;
using AvailabilityZoneName = detail::StringId<struct AvailabilityZoneTag>;
using RegionName = detail::StringId<struct RegionTag>;
using ModelName = detail::StringId<struct ModelTag>;
using ServiceName = detail::StringId<struct ServiceTag>;
using PriorityClassName = detail::StringId<struct PriorityClassTag>;

/// \brief Identifies one run of a process; a later start of the same process has a higher number.
using Incarnation = std::uint64_t;

/// \brief 128 random bits that identify one request.
using RequestId = std::array<std::uint8_t, 16>;

/// \brief Formats a request id as 32 lower-case hexadecimal digits.
[[nodiscard]] std::string ToHex(const RequestId& id);

/// \brief Parses the output of ToHex(); empty if the text is not 32 lower-case hexadecimal digits.
[[nodiscard]] std::optional<RequestId> RequestIdFromHex(std::string_view text) noexcept;

}  // namespace wagtailwind

#endif  // WAGTAILWIND_CORE_IDS_H_
