#include "support/fake_agent_service.h"

#include <capnp/rpc-twoparty.h>
#include <netinet/in.h>

#include <utility>

#include "absl/synchronization/mutex.h"
#include "rpc/wagtailwind.capnp.h"

// The generated and library classes are never deleted through a base pointer.
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

namespace wagtailwind::testing {

namespace schema = rpc::schema;

struct FakeAgentService::State : public std::enable_shared_from_this<FakeAgentService::State>,
                                 public kj::TaskSet::ErrorHandler {
  State() : tasks(kj::heap<kj::TaskSet>(*this)) {}
  virtual ~State() = default;
  void taskFailed(kj::Exception&& /*exception*/) override {}

  AgentPlan NextPlan() {
    const absl::MutexLock lock(&mutex);
    ++attempts;
    AgentPlan plan = plans.empty() ? AgentPlan{} : plans.front();
    if (plans.size() > 1) {
      plans.erase(plans.begin());
    }
    return plan;
  }

  template <typename Condition>
  void Wait(Condition condition) const {
    const absl::MutexLock lock(&mutex, absl::Condition(&condition));
  }

  kj::Own<kj::TaskSet> tasks;
  kj::Own<capnp::TwoPartyServer> server;
  mutable absl::Mutex mutex;
  std::vector<AgentPlan> plans;
  std::vector<std::string> moved;
  std::size_t attempts = 0;
  std::size_t cancels = 0;
  std::uint64_t chunks = 0;
};

namespace {

template <typename State>
class FakeCallHandle final : public schema::CallHandle::Server {
 public:
  explicit FakeCallHandle(std::shared_ptr<State> state) : m_state(std::move(state)) {}
  virtual ~FakeCallHandle() noexcept(false) = default;
  kj::Promise<void> cancel(CancelContext /*context*/) override {
    const absl::MutexLock lock(&m_state->mutex);
    ++m_state->cancels;
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<State> m_state;
};

/// Sends one answer, one message at a time.
template <typename State>
struct Answer : public std::enable_shared_from_this<Answer<State>> {
  std::shared_ptr<State> state;
  AgentPlan plan;
  schema::AnswerSink::Client sink = nullptr;
  std::vector<kj::byte> request_id;
  std::uint32_t attempt = 0;
  std::size_t next = 0;
  std::uint64_t offset = 0;

  kj::Promise<void> SendHead(std::uint32_t number) {
    auto request = sink.headRequest();
    request.setRequestId(kj::ArrayPtr<const kj::byte>(request_id.data(), request_id.size()));
    request.setAttempt(number);
    auto head = request.initHead();
    head.setStatus(200);
    head.setCachedTokens(5);
    auto headers = head.initHeaders(1);
    headers[0].setName("Content-Type");
    headers[0].setValue(plan.content_type);
    return request.send().ignoreResult();
  }

  kj::Promise<void> SendChunk(const std::string& data, std::uint64_t at) {
    auto request = sink.chunkRequest();
    request.setOffset(at);
    request.setData(
        kj::ArrayPtr<const kj::byte>(reinterpret_cast<const kj::byte*>(data.data()), data.size()));
    return request.send();
  }

  kj::Promise<void> Run() {
    kj::Promise<void> mismatched_head =
        plan.crossed_replies ? SendHead(attempt + 1) : kj::Promise<void>(kj::READY_NOW);
    auto self = this->shared_from_this();
    return mismatched_head.then([self] { return self->SendHead(self->attempt); })
        .then([self] {
          return self->plan.duplicate_replies ? self->SendHead(self->attempt)
                                              : kj::Promise<void>(kj::READY_NOW);
        })
        .then([self] { return self->Next(); });
  }

  kj::Promise<void> Next() {
    if (next == plan.chunks.size()) {
      return Finish();
    }
    const std::string& data = plan.chunks[next++];
    const std::uint64_t at = offset;
    offset += data.size() + (plan.gap ? 1 : 0);
    {
      const absl::MutexLock lock(&state->mutex);
      ++state->chunks;
    }
    auto self = this->shared_from_this();
    kj::Promise<void> sent = SendChunk(data, at);
    if (plan.duplicate_replies) {
      sent = sent.then([self, at, &data] { return self->SendChunk(data, at); });
    }
    return sent.then([self] { return self->Next(); });
  }

  kj::Promise<void> Finish() {
    if (plan.hangs) {
      return kj::Promise<void>(kj::NEVER_DONE).attach(this->shared_from_this());
    }
    if (plan.dies) {
      state->tasks->add(
          kj::evalLater([retained_state = state] { retained_state->server = nullptr; }));
      return kj::READY_NOW;
    }
    auto request = sink.endRequest();
    auto end = request.initEnd();
    end.setComplete(!plan.incomplete);
    end.setOutcome(plan.end_outcome == requests::Outcome::kNotRun ? schema::Outcome::NOT_RUN
                                                                  : schema::Outcome::UNKNOWN);
    end.setReason(static_cast<std::uint8_t>(requests::FailureReason::kEngineLost));
    end.setTotalBytes(offset + (plan.wrong_length ? 1 : 0));
    return request.send().ignoreResult();
  }
};

template <typename State>
class AgentServer final : public schema::AgentService::Server {
 public:
  explicit AgentServer(std::shared_ptr<State> state) : m_state(std::move(state)) {}
  virtual ~AgentServer() noexcept(false) = default;

  kj::Promise<void> execute(ExecuteContext context) override {
    const AgentPlan plan = m_state->NextPlan();
    const auto call = context.getParams().getCall();
    auto admission = context.getResults().initAdmission();
    admission.setRequestId(call.getRequestId());
    admission.setAttempt(call.getAttempt() + (plan.wrong_admission ? 1 : 0));
    admission.setAgentIncarnation(FakeAgentService::kIncarnation);
    if (plan.refusal != requests::FailureReason::kNone) {
      Refuse(plan, admission.initRefused());
      return kj::READY_NOW;
    }
    admission.setAdmitted(FakeAgentService::kAnswerId);
    context.getResults().setHandle(kj::heap<FakeCallHandle<State>>(m_state));
    auto answer = std::make_shared<Answer<State>>();
    answer->state = m_state;
    answer->plan = plan;
    answer->sink = context.getParams().getSink();
    answer->request_id.assign(call.getRequestId().begin(), call.getRequestId().end());
    answer->attempt = call.getAttempt();
    m_state->tasks->add(kj::evalLater([answer] { return answer->Run(); }));
    return kj::READY_NOW;
  }

  kj::Promise<void> resume(ResumeContext context) override {
    const AgentPlan plan = m_state->NextPlan();
    const auto params = context.getParams();
    const bool found =
        params.getAnswerId() == FakeAgentService::kAnswerId && params.getOrganisation() == "acme";
    context.getResults().setFound(found);
    if (!found) {
      return kj::READY_NOW;
    }
    context.getResults().setHandle(kj::heap<FakeCallHandle<State>>(m_state));
    auto answer = std::make_shared<Answer<State>>();
    answer->state = m_state;
    answer->plan = plan;
    answer->sink = params.getSink();
    answer->offset = params.getOffset();
    std::string all_bytes;
    for (const std::string& chunk : plan.chunks) {
      all_bytes += chunk;
    }
    answer->plan.chunks = {all_bytes.substr(params.getOffset())};
    m_state->tasks->add(kj::evalLater([answer] { return answer->Next(); }));
    return kj::READY_NOW;
  }

  kj::Promise<void> chatMoved(ChatMovedContext context) override {
    const auto moved = context.getParams().getMoved();
    const absl::MutexLock lock(&m_state->mutex);
    m_state->moved.push_back(std::string(moved.getChat().cStr()) + ">" +
                             moved.getEndpoint().cStr());
    return kj::READY_NOW;
  }

 private:
  static void Refuse(const AgentPlan& plan, schema::Refusal::Builder refusal) {
    refusal.setReason(static_cast<std::uint8_t>(plan.refusal));
    refusal.setRetryAfterMs(1500);
    refusal.setOutcome(plan.refusal_outcome == requests::Outcome::kNotRun
                           ? schema::Outcome::NOT_RUN
                           : schema::Outcome::UNKNOWN);
    auto list = refusal.initRedirects(static_cast<unsigned int>(plan.redirects.size()));
    for (unsigned int i = 0; i < list.size(); ++i) {
      list.set(i, plan.redirects[i]);
    }
  }

  std::shared_ptr<State> m_state;
};

template <typename State>
class BootstrapServer final : public schema::Bootstrap::Server {
 public:
  explicit BootstrapServer(std::shared_ptr<State> state) : m_state(std::move(state)) {}
  virtual ~BootstrapServer() noexcept(false) = default;
  kj::Promise<void> agent(AgentContext context) override {
    context.getResults().setAgent(kj::heap<AgentServer<State>>(m_state));
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<State> m_state;
};

}  // namespace

FakeAgentService::FakeAgentService() {
  m_loop.Run([this] {
    m_state = std::make_shared<State>();
    m_state->server = kj::heap<capnp::TwoPartyServer>(kj::heap<BootstrapServer<State>>(m_state));
    const sockaddr_in loopback{AF_INET, 0, {htonl(INADDR_LOOPBACK)}, {}};
    kj::Own<kj::ConnectionReceiver> receiver =
        m_loop.Io().getNetwork().getSockaddr(&loopback, sizeof(loopback))->listen();
    m_address = "127.0.0.1:" + std::to_string(receiver->getPort());
    kj::Promise<void> listening = m_state->server->listen(*receiver);
    m_state->tasks->add(listening.attach(kj::mv(receiver)));
  });
}

FakeAgentService::~FakeAgentService() { Die(); }

void FakeAgentService::SetPlans(std::vector<AgentPlan> plans) {
  const absl::MutexLock lock(&m_state->mutex);
  m_state->plans = std::move(plans);
}

void FakeAgentService::Die() {
  m_loop.Run([this] {
    m_state->tasks = nullptr;
    m_state->server = nullptr;
  });
}

std::size_t FakeAgentService::Attempts() const {
  const absl::MutexLock lock(&m_state->mutex);
  return m_state->attempts;
}

std::uint64_t FakeAgentService::ChunksSent() const {
  const absl::MutexLock lock(&m_state->mutex);
  return m_state->chunks;
}

std::vector<std::string> FakeAgentService::MovedChats() const {
  const absl::MutexLock lock(&m_state->mutex);
  return m_state->moved;
}

void FakeAgentService::WaitForCancels(std::size_t count) const {
  m_state->Wait([this, count] { return m_state->cancels >= count; });
}

void FakeAgentService::WaitForAttempts(std::size_t count) const {
  m_state->Wait([this, count] { return m_state->attempts >= count; });
}

}  // namespace wagtailwind::testing
