#include "forward/routing.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace wagtailwind::forward {

namespace {

std::string NormalisedHost(std::string_view host) {
  host = host.substr(0, host.find(':'));
  if (host.ends_with('.')) {
    host.remove_suffix(1);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  return lower;
}

}  // namespace

void RoutingConfiguration::AddRoute(Route route) {
  auto& prefixes = m_routes[NormalisedHost(route.host)];
  std::string prefix = route.prefix;
  prefixes.insert_or_assign(std::move(prefix), std::make_shared<const Route>(std::move(route)));
}

void RoutingConfiguration::AddKey(std::string key, ApiKeyOwner owner) {
  m_keys.insert_or_assign(std::move(key), std::move(owner));
}

std::shared_ptr<const Route> RoutingConfiguration::FindRoute(std::string_view host,
                                                             std::string_view path) const {
  const auto prefixes = m_routes.find(NormalisedHost(host));
  if (prefixes == m_routes.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so a match can only end at a slash of the path.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    const auto found = prefixes->second.find(path.substr(0, slash + 1));
    if (found != prefixes->second.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const ApiKeyOwner* RoutingConfiguration::FindKey(std::string_view key) const {
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : &found->second;
}

std::size_t RoutingConfiguration::RouteCount() const noexcept {
  std::size_t count = 0;
  for (const auto& [host, prefixes] : m_routes) {
    count += prefixes.size();
  }
  return count;
}

}  // namespace wagtailwind::forward
