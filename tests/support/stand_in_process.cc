#include "support/stand_in_process.h"

#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "absl/strings/str_split.h"

namespace wagtailwind::testing {

namespace {

constexpr std::chrono::milliseconds kTimeout{20'000};

std::vector<std::string> Arguments(const std::string& name,
                                   const std::vector<std::string>& options) {
  const auto directory = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  std::vector<std::string> arguments{(directory / name).string(), "--listen", "127.0.0.1:0"};
  arguments.insert(arguments.end(), options.begin(), options.end());
  return arguments;
}

}  // namespace

StandInProcess::StandInProcess(const std::string& name, const std::vector<std::string>& options)
    : m_process(Arguments(name, options)),
      m_address(nlohmann::json::parse(m_process.ReadLine()).at("listening").get<std::string>()),
      m_client(std::make_unique<http::Client>(m_address)) {}

void StandInProcess::Control(const std::string& json) {
  const http::Response response = m_client->Send("POST", "/control", json, kTimeout);
  if (response.status != 200) {
    throw std::runtime_error("control refused: " + response.body);
  }
}

std::string StandInProcess::Fetch(const std::string& path) {
  return m_client->Send("GET", path, "", kTimeout).body;
}

std::vector<std::string> StandInProcess::History() {
  return absl::StrSplit(Fetch("/history"), '\n', absl::SkipEmpty());
}

}  // namespace wagtailwind::testing
