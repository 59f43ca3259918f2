#ifndef WAGTAILWIND_AGENT_DELIVERY_TABLE_H_
#define WAGTAILWIND_AGENT_DELIVERY_TABLE_H_

#include <kj/async.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "agent/answer_pump.h"
#include "rpc/event_loop_thread.h"

namespace wagtailwind::agent {

/// \brief Deliveries of stored answers to routers that are in progress. Lives on the event loop;
/// members for other threads say so.
class DeliveryTable : public std::enable_shared_from_this<DeliveryTable> {
 public:
  explicit DeliveryTable(rpc::EventLoopThread& loop) : m_loop(loop) {}

  /// \brief Starts sending an answer from `offset`; returns the number of the delivery.
  std::uint64_t Start(std::shared_ptr<StoredAnswer> answer, const AttemptId& id,
                      std::uint64_t offset, rpc::schema::AnswerSink::Client sink);

  /// \brief Stops a delivery if it is still in progress.
  void Stop(std::uint64_t number);
  void StopAll();

  /// \brief Waits until no delivery is in progress; returns false on timeout. Must not be called on
  /// the event loop.
  [[nodiscard]] bool WaitEmpty(std::chrono::milliseconds timeout) const;

  /// \brief Returns the number of deliveries in progress. May be called from any thread.
  [[nodiscard]] std::size_t Count() const;

 private:
  struct Delivery {
    std::unique_ptr<AnswerPump> pump;
    kj::Promise<void> done = nullptr;
  };

  void Notify(std::uint64_t number);
  void UpdateCount();

  rpc::EventLoopThread& m_loop;
  std::map<std::uint64_t, Delivery> m_deliveries;
  std::uint64_t m_next_number = 1;
  mutable absl::Mutex m_mutex;
  std::size_t m_count ABSL_GUARDED_BY(m_mutex) = 0;
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_DELIVERY_TABLE_H_
