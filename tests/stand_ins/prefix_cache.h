#ifndef WAGTAILWIND_TESTS_STAND_INS_PREFIX_CACHE_H_
#define WAGTAILWIND_TESTS_STAND_INS_PREFIX_CACHE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace wagtailwind::stand_ins {

/// \brief A prefix of a conversation: the hash of its messages and their number of tokens.
struct Prefix {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;
};

/// \brief An insertion into the cache or an eviction from it.
struct CacheEvent {
  std::uint64_t sequence = 0;
  std::string type;
  Prefix prefix;
  std::chrono::steady_clock::time_point time;
};

/// \brief Cache of conversation prefixes with a token limit. Evicts the least recently used prefix
/// first.
class PrefixCache {
 public:
  explicit PrefixCache(std::uint64_t tokens_limit) : m_tokens_limit(tokens_limit) {}

  /// \brief Returns the number of tokens of the longest cached prefix; 0 if none is cached.
  /// `prefixes` must be ordered by length.
  [[nodiscard]] std::uint32_t Find(const std::vector<Prefix>& prefixes);

  void Insert(const Prefix& prefix);
  void Clear();

  [[nodiscard]] std::uint64_t TokensUsed() const noexcept { return m_tokens_used; }
  [[nodiscard]] const std::deque<CacheEvent>& Events() const noexcept { return m_events; }

 private:
  void Record(const std::string& type, const Prefix& prefix);

  std::uint64_t m_tokens_limit;
  std::uint64_t m_tokens_used = 0;
  std::list<Prefix> m_recent;
  std::map<std::uint64_t, std::list<Prefix>::iterator> m_by_hash;
  std::deque<CacheEvent> m_events;
  std::uint64_t m_next_sequence = 1;
};

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_PREFIX_CACHE_H_
