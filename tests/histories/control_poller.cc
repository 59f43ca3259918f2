#include "histories/control_poller.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "histories/recorder.h"

namespace wagtailwind::histories {

namespace {

constexpr std::chrono::milliseconds kPollPeriod{50};
constexpr std::chrono::seconds kCallTimeout{2};

}  // namespace

VersionPoller::VersionPoller(const std::string& process, const std::string& admin_address)
    : m_client(admin_address) {
  {
    const absl::MutexLock lock(&m_mutex);
    m_run.process = process;
    m_run.started = NowMs();
  }
  m_thread = std::make_unique<PeriodicThread>(kPollPeriod, [this] { Poll(); });
}

void VersionPoller::Poll() {
  VersionSample sample;
  sample.asked = NowMs();
  try {
    const http::Response response = m_client.Send("GET", "/state", "", kCallTimeout);
    sample.answered = NowMs();
    const nlohmann::json state = nlohmann::json::parse(response.body);
    sample.incarnation = state.at("instance").at("incarnation").get<std::uint64_t>();
    sample.ready = state.at("instance").at("configured").get<bool>();
    sample.version = state.at("configuration").at("version").get<std::uint64_t>();
  } catch (const Error&) {
    // The process is paused or killed.
    return;
  } catch (const nlohmann::json::exception&) {
    return;
  }
  const absl::MutexLock lock(&m_mutex);
  if (m_run.ended == kNever) {
    m_run.samples.push_back(sample);
  }
}

void VersionPoller::BeginPause() {
  const absl::MutexLock lock(&m_mutex);
  m_run.paused.push_back({NowMs(), kNever});
}

void VersionPoller::EndPause() {
  const absl::MutexLock lock(&m_mutex);
  if (!m_run.paused.empty()) {
    m_run.paused.back().end = NowMs();
  }
}

void VersionPoller::MarkEnded() {
  const absl::MutexLock lock(&m_mutex);
  m_run.ended = NowMs();
}

VersionSample VersionPoller::Latest() const {
  const absl::MutexLock lock(&m_mutex);
  return m_run.samples.empty() ? VersionSample{} : m_run.samples.back();
}

ProcessRun VersionPoller::Run() const {
  const absl::MutexLock lock(&m_mutex);
  return m_run;
}

bool WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace wagtailwind::histories
