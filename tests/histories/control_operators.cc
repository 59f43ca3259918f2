#include "histories/control_operators.h"

#include <array>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

#include "support/child_process.h"

namespace wagtailwind::histories {

namespace {

using Json = nlohmann::json;
using Action = ChangeReport::Action;
using records::ChangeOutcome;

// Below records::kRecentChanges, so that the final document lists every change, including those of
// the scenarios.
constexpr int kMaxChanges = 200;
constexpr std::uint64_t kMaxPauseMs = 120;
constexpr std::uint64_t kMaxKillMs = 40;
constexpr std::uint64_t kSharedRecords = 2;

// Exit code of the tool if the outcome of a change is unknown.
constexpr int kExitUnknown = 3;

void ParseOutput(const std::string& output, int status, ChangeReport& report) {
  const Json parsed = Json::parse(output, nullptr, false);
  if (parsed.is_object()) {
    const auto outcome = parsed.value("outcome", std::string());
    report.outcome = outcome == "accepted"       ? ChangeOutcome::kAccepted
                     : outcome == "not_accepted" ? ChangeOutcome::kNotAccepted
                                                 : ChangeOutcome::kUnknown;
    report.version = parsed.value("version", records::ConfigurationVersion{0});
    report.change_id = parsed.value("change", std::string());
  } else {
    // Without output, the tool ended before it made a change, or was killed.
    report.outcome = status != kExitUnknown && !report.killed ? ChangeOutcome::kNotAccepted
                                                              : ChangeOutcome::kUnknown;
  }
}

std::string Weight(int number) { return Json(number / 100.0).dump(); }

}  // namespace

std::vector<std::string> OperatorTool::Arguments(const ChangeReport& draft) {
  const auto& [kind, name] = draft.key;
  std::vector<std::string> arguments{m_tool.string()};
  if (draft.action == Action::kDelete) {
    arguments.insert(arguments.end(), {"delete", kind, name});
  } else if (draft.action == Action::kEdit) {
    arguments.insert(arguments.end(), {"edit", kind, name});
    for (const auto& [field, value] : draft.fields) {
      std::string assignment = field;
      assignment.append("=").append(value);
      arguments.insert(arguments.end(), {"--set", std::move(assignment)});
    }
  } else {
    Json record{{"kind", kind}, {"name", name}, {"body", Json::object()}};
    for (const auto& [field, value] : draft.fields) {
      record["body"][field] = Json::parse(value);
    }
    const auto file = m_folder / ("put-" + std::to_string(m_next_file++) + ".json");
    std::ofstream(file) << record.dump();
    arguments.insert(arguments.end(), {"put", file.string()});
  }
  arguments.insert(arguments.end(), {"--platform", m_platform, "--output", "json"});
  return arguments;
}

ChangeReport OperatorTool::Change(ChangeReport draft,
                                  std::optional<std::chrono::milliseconds> kill_after) {
  draft.begun = NowMs();
  testing::ChildProcess tool(Arguments(draft), (m_folder / "operators.log").string());
  if (kill_after) {
    std::this_thread::sleep_for(*kill_after);
    tool.Signal(SIGKILL);
  }
  const std::string output = tool.ReadLine();
  const int status = tool.Wait();
  draft.reported = NowMs();
  draft.killed = kill_after.has_value() && output.empty();
  ParseOutput(output, status, draft);
  m_reports.Add(draft);
  return draft;
}

std::pair<int, std::string> OperatorTool::Run(const std::vector<std::string>& arguments) const {
  std::vector<std::string> all{m_tool.string()};
  all.insert(all.end(), arguments.begin(), arguments.end());
  all.insert(all.end(), {"--platform", m_platform});
  testing::ChildProcess tool(all, (m_folder / "operators.log").string());
  std::string output;
  for (std::string line = tool.ReadLine(); !line.empty(); line = tool.ReadLine()) {
    output += line + "\n";
  }
  return {tool.Wait(), output};
}

Operators::Operators(OperatorTool& tool, std::uint64_t seed, int count) : m_tool(tool) {
  for (int i = 0; i < count; ++i) {
    m_threads.emplace_back([this, i, seed] {
      Run("operator-" + std::to_string(i), seed * 1'000 + static_cast<std::uint64_t>(i));
    });
  }
}

void Operators::Pause() {
  m_paused = true;
  while (m_busy > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

void Operators::Stop() {
  m_stopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

void Operators::Run(const std::string& actor, std::uint64_t seed) {
  SeededRandomSource random(seed);
  while (!m_stopping) {
    std::this_thread::sleep_for(std::chrono::milliseconds(random.NextBelow(kMaxPauseMs)));
    ++m_busy;
    if (!m_paused && m_changes < kMaxChanges) {
      ChangeOnce(actor, random);
    }
    --m_busy;
  }
}

void Operators::ChangeOnce(const std::string& actor, RandomSource& random) {
  constexpr std::array<const char*, 3> kClasses{"\"high\"", "\"normal\"", "\"bulk\""};
  const int number = ++m_changes;
  ChangeReport draft;
  draft.actor = actor;
  draft.key = {"organisation", "shared-" + std::to_string(random.NextBelow(kSharedRecords))};
  const std::uint64_t choice = random.NextBelow(10);
  const std::string chosen_class = kClasses[random.NextBelow(kClasses.size())];
  if (choice < 4) {
    draft.action = Action::kEdit;
    draft.fields = {{"weight", Weight(number)}};
  } else if (choice < 6) {
    draft.action = Action::kEdit;
    draft.fields = {{"default_class", chosen_class}};
  } else if (choice == 6) {
    draft.action = Action::kDelete;
  } else {
    draft.fields = {{"weight", Weight(number)}, {"default_class", chosen_class}};
  }
  if (choice == 8) {
    draft.key.name = "own-" + std::to_string(number);
  }
  if (choice == 9) {
    draft.key.name = "killed-" + std::to_string(number);
    m_tool.Change(draft, std::chrono::milliseconds(random.NextBelow(kMaxKillMs)));
    return;
  }
  m_tool.Change(draft);
}

}  // namespace wagtailwind::histories
