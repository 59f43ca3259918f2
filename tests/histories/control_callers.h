#ifndef WAGTAILWIND_TESTS_HISTORIES_CONTROL_CALLERS_H_
#define WAGTAILWIND_TESTS_HISTORIES_CONTROL_CALLERS_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "histories/control_history.h"
#include "histories/recorder.h"

namespace wagtailwind::histories {

/// \brief Sends chats to the routers and records which endpoint ran each of them.
class ChatCallers {
 public:
  /// \brief Starts the threads; they send nothing until routers are set.
  ChatCallers(std::string model, std::string organisation, std::uint64_t seed, int count);
  ~ChatCallers() { Stop(); }
  ChatCallers(const ChatCallers&) = delete;
  ChatCallers& operator=(const ChatCallers&) = delete;

  void SetRouters(std::vector<std::string> addresses);

  /// \brief Sends `count` chats to one router concurrently, calls `on_sent` when they have been
  /// sent, and returns when all of them are answered.
  void SendTo(const std::string& router, int count, const std::function<void()>& on_sent);

  void Stop();
  [[nodiscard]] std::vector<ExecutedRequest> Executed() const { return m_executed.Records(); }

 private:
  void Run(std::uint64_t seed);
  void SendOne(const std::string& router, const std::string& chat);
  [[nodiscard]] std::string Router(std::uint64_t number) const;

  const std::string m_model;
  const std::string m_organisation;
  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_next_chat{0};
  mutable absl::Mutex m_mutex;
  std::vector<std::string> m_routers ABSL_GUARDED_BY(m_mutex);
  Recorder<ExecutedRequest> m_executed;
  std::vector<std::thread> m_threads;
};

}  // namespace wagtailwind::histories

#endif  // WAGTAILWIND_TESTS_HISTORIES_CONTROL_CALLERS_H_
