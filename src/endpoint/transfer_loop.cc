#include "endpoint/transfer_loop.h"

#include <curl/curl.h>

#include <cstdint>
#include <map>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "endpoint/easy_transfer.h"

namespace wagtailwind::endpoint {

namespace {

constexpr int kPollTimeoutMs = 1000;
constexpr long kMaxIdleConnections = 256;

using TransferNumber = std::uint64_t;

struct NewTransfer {
  TransferNumber number = 0;
  TransferRequest request;
  std::shared_ptr<TransferReceiver> receiver;
};

void InitialiseCurlOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)result;
}

}  // namespace

struct TransferLoop::State {
  State() {
    InitialiseCurlOnce();
    multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }
  ~State() { curl_multi_cleanup(multi); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Cancel(TransferNumber number) {
    {
      const absl::MutexLock lock(&mutex);
      pending_cancels.push_back(number);
    }
    curl_multi_wakeup(multi);
  }

  void Add(NewTransfer added) {
    auto easy =
        std::make_unique<detail::EasyTransfer>(std::move(added.request), std::move(added.receiver));
    numbers[easy.get()] = added.number;
    curl_multi_add_handle(multi, easy->Handle());
    transfers[added.number] = std::move(easy);
  }

  [[nodiscard]] std::unique_ptr<detail::EasyTransfer> Remove(TransferNumber number) {
    const auto found = transfers.find(number);
    if (found == transfers.end()) {
      return nullptr;
    }
    std::unique_ptr<detail::EasyTransfer> transfer = std::move(found->second);
    curl_multi_remove_handle(multi, transfer->Handle());
    transfers.erase(found);
    numbers.erase(transfer.get());
    return transfer;
  }

  void ProcessCommands() {
    std::vector<NewTransfer> to_add;
    std::vector<TransferNumber> to_cancel;
    {
      const absl::MutexLock lock(&mutex);
      to_add.swap(pending_transfers);
      to_cancel.swap(pending_cancels);
    }
    for (NewTransfer& added : to_add) {
      Add(std::move(added));
    }
    for (const TransferNumber number : to_cancel) {
      if (const auto transfer = Remove(number)) {
        transfer->FinishCancelled();
      }
    }
  }

  void FinishCompleted() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      detail::EasyTransfer* ended = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ended);
      Remove(numbers.at(ended))->Finish(code);
    }
  }

  [[nodiscard]] bool IsStopping() {
    const absl::MutexLock lock(&mutex);
    return stopping;
  }

  void Run() {
    while (!IsStopping()) {
      ProcessCommands();
      int running = 0;
      curl_multi_perform(multi, &running);
      FinishCompleted();
      curl_multi_poll(multi, nullptr, 0, kPollTimeoutMs, nullptr);
    }
    ProcessCommands();
    while (!transfers.empty()) {
      Remove(transfers.begin()->first)->FinishCancelled();
    }
  }

  absl::Mutex mutex;
  std::vector<NewTransfer> pending_transfers ABSL_GUARDED_BY(mutex);
  std::vector<TransferNumber> pending_cancels ABSL_GUARDED_BY(mutex);
  TransferNumber next_number ABSL_GUARDED_BY(mutex) = 1;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  CURLM* multi = nullptr;
  // The following members are used by the loop's thread only.
  std::map<TransferNumber, std::unique_ptr<detail::EasyTransfer>> transfers;
  std::map<const detail::EasyTransfer*, TransferNumber> numbers;
};

namespace {

template <typename State>
class TransferHandle final : public Transfer {
 public:
  TransferHandle(std::weak_ptr<State> state, TransferNumber number)
      : m_state(std::move(state)), m_number(number) {}

  void Cancel() override {
    if (const std::shared_ptr<State> state = m_state.lock()) {
      state->Cancel(m_number);
    }
  }

 private:
  std::weak_ptr<State> m_state;
  TransferNumber m_number;
};

}  // namespace

TransferLoop::TransferLoop()
    : m_state(std::make_shared<State>()), m_thread([state = m_state] { state->Run(); }) {}

TransferLoop::~TransferLoop() {
  {
    const absl::MutexLock lock(&m_state->mutex);
    m_state->stopping = true;
  }
  curl_multi_wakeup(m_state->multi);
  m_thread.join();
}

std::shared_ptr<Transfer> TransferLoop::Start(TransferRequest request,
                                              std::shared_ptr<TransferReceiver> receiver) {
  TransferNumber number = 0;
  {
    const absl::MutexLock lock(&m_state->mutex);
    number = m_state->next_number++;
    m_state->pending_transfers.push_back({number, std::move(request), std::move(receiver)});
  }
  curl_multi_wakeup(m_state->multi);
  return std::make_shared<TransferHandle<State>>(m_state, number);
}

}  // namespace wagtailwind::endpoint
