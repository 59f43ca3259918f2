#ifndef WAGTAILWIND_TESTS_SUPPORT_LOAD_GENERATOR_H_
#define WAGTAILWIND_TESTS_SUPPORT_LOAD_GENERATOR_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "http/message.h"

namespace wagtailwind::testing {

/// \brief A caller that repeats the same streamed call on one connection.
struct LoadCaller {
  /// `ip:port`.
  std::string address;
  std::string body;
  std::vector<http::Header> headers;
};

/// \brief Results of a load run. The samples exclude the first call of each caller, because it
/// opens the connections along the path.
struct LoadResult {
  /// Time from the start of a call to the arrival of its first token.
  std::vector<double> first_token_ms;
  /// Time between the arrivals of consecutive tokens.
  std::vector<double> gap_ms;
  /// Time from the moment that the engine stand-in wrote a token to its arrival.
  std::vector<double> transit_ms;
  std::uint64_t whole_answers = 0;
  std::uint64_t failures = 0;
  std::uint64_t tokens = 0;
  double wall_seconds = 0;
  /// CPU time of all threads of the generator, and of the busiest one.
  double cpu_seconds = 0;
  double busiest_thread_cpu_seconds = 0;
};

/// \brief Runs all callers for `duration` and then lets open calls finish. The first calls start at
/// even intervals over `spread`.
[[nodiscard]] LoadResult RunLoad(const std::vector<LoadCaller>& callers,
                                 std::chrono::milliseconds duration,
                                 std::chrono::milliseconds spread, std::size_t threads);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_LOAD_GENERATOR_H_
