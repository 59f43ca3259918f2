#ifndef WAGTAILWIND_TESTS_HISTORIES_RUN_OPTIONS_H_
#define WAGTAILWIND_TESTS_HISTORIES_RUN_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>

namespace wagtailwind::histories {

/// \brief Options of a run, from the command line.
struct RunOptions {
  std::uint64_t seed = 1;
  /// Name of the mechanism to remove; empty for none.
  std::string mutant;
  /// Period during which faults begin.
  std::chrono::seconds length{8};
  /// Report times over the design bounds without failing the run.
  bool order_only = false;
  std::filesystem::path binary_dir;
  std::filesystem::path source_dir;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_RUN_OPTIONS_H_
