#include "support/stand_in.h"

#include <chrono>
#include <stdexcept>

namespace wagtailwind::testing {

namespace {

constexpr std::chrono::seconds kControlTimeout{30};

std::string ListeningAddress(const std::string& line) {
  constexpr std::string_view kPrefix = R"({"listening":")";
  if (!line.starts_with(kPrefix)) {
    throw std::runtime_error("stand-in did not start: " + line);
  }
  return line.substr(kPrefix.size(), line.find('"', kPrefix.size()) - kPrefix.size());
}

}  // namespace

StandIn::StandIn(const std::string& path)
    : m_process({path, "--listen", "127.0.0.1:0"}),
      m_address(ListeningAddress(m_process.ReadLine())),
      m_client(m_address) {}

bool StandIn::Control(const std::string& json) {
  return m_client.Send("POST", "/control", json, kControlTimeout).status == 200;
}

std::string StandIn::Fetch(const std::string& path) {
  return m_client.Send("GET", path, "", kControlTimeout).body;
}

}  // namespace wagtailwind::testing
