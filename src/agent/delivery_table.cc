#include "agent/delivery_table.h"

#include <utility>

#include "absl/time/time.h"

namespace wagtailwind::agent {

std::uint64_t DeliveryTable::Start(std::shared_ptr<StoredAnswer> answer, const AttemptId& id,
                                   std::uint64_t offset, rpc::schema::AnswerSink::Client sink) {
  const std::uint64_t number = m_next_number++;
  const std::weak_ptr<DeliveryTable> weak = weak_from_this();
  auto notify = [weak, &loop = m_loop, number] {
    loop.Post([weak, number] {
      if (const std::shared_ptr<DeliveryTable> table = weak.lock()) {
        table->Notify(number);
      }
    });
  };
  Delivery delivery;
  delivery.pump =
      std::make_unique<AnswerPump>(std::move(answer), id, offset, kj::mv(sink), std::move(notify));
  AnswerPump& pump = *delivery.pump;
  m_deliveries.emplace(number, std::move(delivery));
  UpdateCount();
  // A promise must not destroy itself, so the delivery is removed by a task posted to the loop.
  const auto ended = [this, weak, number] {
    m_loop.Post([weak, number] {
      if (const std::shared_ptr<DeliveryTable> table = weak.lock()) {
        table->Stop(number);
      }
    });
  };
  m_deliveries.at(number).done = kj::evalLater([&pump] {
                                   return pump.Run();
                                 }).then([ended] {
                                     ended();
                                   }).eagerlyEvaluate([ended](const kj::Exception& /*error*/) {
    // The connection to the router is lost; a router may resume the answer later.
    ended();
  });
  return number;
}

void DeliveryTable::Notify(std::uint64_t number) {
  const auto found = m_deliveries.find(number);
  if (found != m_deliveries.end()) {
    found->second.pump->OnChange();
  }
}

void DeliveryTable::Stop(std::uint64_t number) {
  const auto found = m_deliveries.find(number);
  if (found == m_deliveries.end()) {
    return;
  }
  // The promise refers to the pump, so it is destroyed first.
  found->second.done = nullptr;
  m_deliveries.erase(found);
  UpdateCount();
}

void DeliveryTable::StopAll() {
  while (!m_deliveries.empty()) {
    Stop(m_deliveries.begin()->first);
  }
}

void DeliveryTable::UpdateCount() {
  const absl::MutexLock lock(&m_mutex);
  m_count = m_deliveries.size();
}

std::size_t DeliveryTable::Count() const {
  const absl::MutexLock lock(&m_mutex);
  return m_count;
}

bool DeliveryTable::WaitEmpty(std::chrono::milliseconds timeout) const {
  const auto is_empty = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_count == 0; };
  m_mutex.LockWhenWithTimeout(absl::Condition(&is_empty), absl::FromChrono(timeout));
  const bool empty = m_count == 0;
  m_mutex.Unlock();
  return empty;
}

}  // namespace wagtailwind::agent
