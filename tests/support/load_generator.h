#ifndef WAGTAILWIND_TESTS_SUPPORT_LOAD_GENERATOR_H_
#define WAGTAILWIND_TESTS_SUPPORT_LOAD_GENERATOR_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "http/message.h"

namespace wagtailwind::testing {

/// \brief A caller that sends the same streamed call over and over on one connection.
struct LoadCaller {
  /// `ip:port`.
  std::string address;
  std::string body;
  std::vector<http::Header> headers;
};

/// \brief What callers saw. The first call of each caller is not part of the samples, because it
/// opens the connections along the path.
struct LoadResult {
  /// From the start of a call to the arrival of its first token.
  std::vector<double> first_token_ms;
  /// From the arrival of a token to that of the next.
  std::vector<double> gap_ms;
  /// From the engine stand-in's writing of a token to its arrival.
  std::vector<double> transit_ms;
  std::uint64_t whole_answers = 0;
  std::uint64_t failures = 0;
  std::uint64_t tokens = 0;
  double wall_seconds = 0;
  /// CPU time of all threads of the generator, and of the one that used most.
  double cpu_seconds = 0;
  double busiest_thread_cpu_seconds = 0;
};

/// \brief Runs all callers for a time. Calls that have begun are finished. Their starts are spread
/// evenly over `spread`.
[[nodiscard]] LoadResult RunLoad(const std::vector<LoadCaller>& callers,
                                 std::chrono::milliseconds duration,
                                 std::chrono::milliseconds spread, std::size_t threads);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_LOAD_GENERATOR_H_
