#include "router/service_path.h"

#include <algorithm>
#include <array>

namespace wagtailwind::router {

namespace {

bool HasForbiddenCharacter(std::string_view path) noexcept {
  return std::any_of(path.begin(), path.end(), [](unsigned char character) {
    return character <= ' ' || character == 0x7f || character == '\\' || character == '?' ||
           character == '#';
  });
}

bool HasEncodedSeparator(std::string_view path) noexcept {
  // `%25` could hide one of the others from a parser that decodes only once.
  constexpr std::array<std::string_view, 8> kEncoded = {"%2f", "%2F", "%2e", "%2E",
                                                        "%5c", "%5C", "%25", "%00"};
  return std::any_of(kEncoded.begin(), kEncoded.end(), [path](std::string_view encoded) {
    return path.find(encoded) != std::string_view::npos;
  });
}

bool HasDotSegment(std::string_view path) noexcept {
  for (std::size_t begin = 1; begin <= path.size();) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    const std::string_view segment = path.substr(begin, end - begin);
    if (segment == "." || segment == ".." || (segment.empty() && end < path.size())) {
      return true;
    }
    begin = end + 1;
  }
  return false;
}

bool HasPrefix(std::string_view path, std::string_view prefix) noexcept {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

}  // namespace

bool IsUnambiguousPath(std::string_view path) noexcept {
  return path.starts_with('/') && !HasForbiddenCharacter(path) && !HasEncodedSeparator(path) &&
         !HasDotSegment(path);
}

bool IsRepeatable(const records::Service& service, std::string_view method,
                  std::string_view path) noexcept {
  return std::any_of(service.repeatable.begin(), service.repeatable.end(),
                     [method, path](const records::RepeatableCall& call) {
                       return call.method == method && HasPrefix(path, call.path_prefix);
                     });
}

}  // namespace wagtailwind::router
