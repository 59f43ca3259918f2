#include "core/random_source.h"

#include <cstring>

namespace wagtailwind {

RequestId RandomSource::NewRequestId() {
  RequestId id{};
  const std::uint64_t halves[2] = {Next(), Next()};
  std::memcpy(id.data(), halves, id.size());
  return id;
}

std::uint64_t SeededRandomSource::EntropySeed() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32U | device();
}

std::uint64_t SeededRandomSource::Next() {
  const std::lock_guard lock(m_mutex);
  return m_engine();
}

}  // namespace wagtailwind
