#ifndef WAGTAILWIND_GOSSIP_SOCKET_ERROR_H_
#define WAGTAILWIND_GOSSIP_SOCKET_ERROR_H_

#include "core/error.h"

namespace wagtailwind::gossip {

namespace detail {
struct SocketErrorTag {
  static constexpr const char* kName = "gossip_socket_error";
};
}  // namespace detail

/// \brief The gossip socket could not be opened.
using SocketError = wagtailwind::detail::NamedError<detail::SocketErrorTag>;

}  // namespace wagtailwind::gossip

#endif  // WAGTAILWIND_GOSSIP_SOCKET_ERROR_H_
