#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_OPERATORS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_OPERATORS_H_

#include <atomic>
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/random_source.h"
#include "histories/control_history.h"
#include "histories/recorder.h"

namespace wagtailwind::histories {

/// \brief Runs the command-line tool and records its reports.
class OperatorTool {
 public:
  OperatorTool(std::filesystem::path tool, std::string platform, std::filesystem::path folder)
      : m_tool(std::move(tool)), m_platform(std::move(platform)), m_folder(std::move(folder)) {}

  /// \brief Makes a change; `draft` names the actor, the record and the fields. With `kill_after`,
  /// kills the tool after that time if it still runs.
  ChangeReport Change(ChangeReport draft,
                      std::optional<std::chrono::milliseconds> kill_after = std::nullopt);

  [[nodiscard]] std::vector<ChangeReport> Reports() const { return m_reports.Records(); }

  /// \brief Runs another command of the tool and returns its exit status and standard output.
  [[nodiscard]] std::pair<int, std::string> Run(const std::vector<std::string>& arguments) const;

 private:
  [[nodiscard]] std::vector<std::string> Arguments(const ChangeReport& draft);

  std::filesystem::path m_tool;
  std::string m_platform;
  std::filesystem::path m_folder;
  std::atomic<int> m_next_file{0};
  Recorder<ChangeReport> m_reports;
};

/// \brief Concurrent operators that change records until they are stopped.
class Operators {
 public:
  Operators(OperatorTool& tool, std::uint64_t seed, int count);
  ~Operators() { Stop(); }
  Operators(const Operators&) = delete;
  Operators& operator=(const Operators&) = delete;

  /// \brief Waits until no change is in progress, and prevents new ones until Resume().
  void Pause();
  void Resume() { m_paused = false; }
  void Stop();

 private:
  void Run(const std::string& actor, std::uint64_t seed);
  void ChangeOnce(const std::string& actor, RandomSource& random);

  OperatorTool& m_tool;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_paused{false};
  std::atomic<int> m_busy{0};
  std::atomic<int> m_changes{0};
  std::vector<std::thread> m_threads;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_OPERATORS_H_
