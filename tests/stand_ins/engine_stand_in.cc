#include "stand_ins/engine_stand_in.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "core/random_source.h"

namespace wagtailwind::stand_ins {

namespace {

using nlohmann::json;

constexpr std::string_view kStreamPath = "/v1/streams/";
constexpr std::size_t kMaxLoadSamples = 100'000;

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string NewIncarnation() {
  return absl::StrCat(absl::Hex(SeededRandomSource::EntropySeed(), absl::kZeroPad16));
}

http::HandlerResult ErrorResponse(int status, const std::string& message) {
  return {http::JsonResponse(status, json{{"error", {{"message", message}}}}.dump()), nullptr,
          false};
}

http::HandlerResult OkResponse(const json& document) {
  return {http::JsonResponse(200, document.dump()), nullptr, false};
}

// Decrements the number of pending faults. Returns false if none is pending.
bool ConsumeFault(int& count) {
  if (count <= 0) {
    return false;
  }
  --count;
  return true;
}

// Parses a number; 0 if it is malformed.
std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  return absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number) ? number : 0;
}

}  // namespace

/// Streams the bytes of a generation from an offset on, as they are produced. Aborts the connection
/// at position `cut_after`.
class GenerationBody final : public http::BodySource {
 public:
  GenerationBody(EngineStandIn& engine, std::shared_ptr<Generation> generation, std::size_t offset,
                 std::optional<std::size_t> cut_after)
      : m_engine(engine),
        m_generation(std::move(generation)),
        m_position(offset),
        m_cut_after(cut_after) {}

  std::string Next() override {
    const auto ready = [this] {
      return m_generation->ended || m_generation->bytes.size() > m_position;
    };
    const absl::MutexLock lock(&m_engine.m_mutex, absl::Condition(&ready));
    if (m_cut_after && m_position >= *m_cut_after) {
      throw http::AbortBody();
    }
    if (m_generation->bytes.size() <= m_position) {
      if (m_generation->cancelled) {
        throw http::AbortBody();
      }
      return {};
    }
    std::string next = m_generation->bytes.substr(m_position);
    if (m_cut_after) {
      next.resize(std::min(next.size(), *m_cut_after - m_position));
    }
    m_position += next.size();
    return next;
  }

 private:
  EngineStandIn& m_engine;
  std::shared_ptr<Generation> m_generation;
  std::size_t m_position;
  std::optional<std::size_t> m_cut_after;
};

EngineStandIn::EngineStandIn(EngineOptions options)
    : m_options(std::move(options)),
      m_history_file(m_options.history_file),
      m_incarnation(NewIncarnation()),
      m_cache(m_options.cache_tokens_limit) {
  for (std::size_t i = 0; i < m_options.concurrency; ++i) {
    m_workers.emplace_back([this] { RunWorker(); });
  }
}

EngineStandIn::~EngineStandIn() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  for (std::thread& worker : m_workers) {
    worker.join();
  }
}

http::HandlerResult EngineStandIn::Handle(const http::Request& request) {
  try {
    const std::string& path = request.path;
    if (request.method == "POST" && path == "/v1/chat/completions") {
      return Generate(request);
    }
    if (path.starts_with(kStreamPath)) {
      return request.method == "DELETE" ? CancelStream(request) : Resume(request);
    }
    if (request.method == "POST" && path == "/v1/load") {
      return Load(request);
    }
    if (request.method == "POST" && path == "/control") {
      return Control(request);
    }
    if (path == "/v1/status") {
      return Status();
    }
    if (path == "/v1/models") {
      return Models();
    }
    if (path == "/v1/cache_events") {
      return CacheEvents(request);
    }
    if (path == "/history") {
      return History();
    }
    return ErrorResponse(404, "unknown path");
  } catch (const json::exception& error) {
    return ErrorResponse(400, error.what());
  }
}

EngineStandIn::GenerationPtr EngineStandIn::Enqueue(const http::Request& request) {
  auto generation = std::make_shared<Generation>();
  generation->input = ParseGenerationInput(request.body, m_options.default_tokens);
  generation->request_id = http::FindHeader(request.headers, "Wagtailwind-Request-Id");
  generation->key = http::FindHeader(request.headers, "Wagtailwind-Request-Key");
  generation->rank = static_cast<std::uint32_t>(
      ParseNumber(http::FindHeader(request.headers, "Wagtailwind-Priority-Rank")));
  generation->received_ms = NowMs();
  const absl::MutexLock lock(&m_mutex);
  generation->id = absl::StrCat(m_incarnation, ".", m_next_number++);
  generation->duplicate_event = ConsumeFault(m_faults.duplicate_next);
  m_history_file.Append(HistoryLine(*generation, m_options.name));
  m_waiting.push_back(generation);
  m_streams[generation->id] = generation;
  m_history.push_back(generation);
  SampleLoad();
  return generation;
}

http::HandlerResult EngineStandIn::Generate(const http::Request& request) {
  std::chrono::milliseconds delay{0};
  {
    const absl::MutexLock lock(&m_mutex);
    if (ConsumeFault(m_faults.fail_next)) {
      return ErrorResponse(m_faults.fail_status, "failure set by control");
    }
    if (ConsumeFault(m_faults.delay_next)) {
      delay = m_faults.delay;
    }
  }
  std::this_thread::sleep_for(delay);
  const GenerationPtr generation = Enqueue(request);
  const auto started = [&generation] { return generation->started || generation->ended; };
  {
    const absl::MutexLock lock(&m_mutex, absl::Condition(&started));
    if (ConsumeFault(m_faults.drop_next)) {
      return {{}, nullptr, true};
    }
  }
  return StreamAnswer(generation, 0);
}

http::HandlerResult EngineStandIn::StreamAnswer(const GenerationPtr& generation,
                                                std::size_t offset) {
  const absl::MutexLock lock(&m_mutex);
  std::optional<std::size_t> cut_after;
  if (ConsumeFault(m_faults.cut_next)) {
    cut_after = offset + m_faults.cut_after_bytes;
  }
  http::HandlerResult result;
  result.response.headers = {
      {"Content-Type", generation->input.stream ? "text/event-stream" : "application/json"},
      {"Wagtailwind-Stream-Id", generation->id},
      {"Wagtailwind-Cached-Tokens", std::to_string(generation->cached_tokens)}};
  result.stream = std::make_shared<GenerationBody>(*this, generation, offset, cut_after);
  return result;
}

std::string EngineStandIn::StreamIdOf(std::string_view path) {
  return std::string(path.substr(kStreamPath.size()));
}

http::HandlerResult EngineStandIn::Resume(const http::Request& request) {
  GenerationPtr generation;
  {
    const absl::MutexLock lock(&m_mutex);
    const auto found = m_streams.find(StreamIdOf(request.path));
    if (found == m_streams.end() || found->second->cancelled) {
      return ErrorResponse(404, "unknown stream");
    }
    generation = found->second;
  }
  return StreamAnswer(generation, ParseNumber(http::QueryParameter(request.query, "offset")));
}

http::HandlerResult EngineStandIn::CancelStream(const http::Request& request) {
  const absl::MutexLock lock(&m_mutex);
  const auto found = m_streams.find(StreamIdOf(request.path));
  if (found == m_streams.end()) {
    return ErrorResponse(404, "unknown stream");
  }
  found->second->cancelled = !found->second->ended;
  return OkResponse({{"cancelled", found->second->cancelled}});
}

void EngineStandIn::RunWorker() {
  while (true) {
    GenerationPtr generation;
    {
      const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
        return m_stopping || !m_waiting.empty();
      };
      const absl::MutexLock lock(&m_mutex, absl::Condition(&ready));
      if (m_stopping) {
        return;
      }
      generation = DequeueByRank();
    }
    RunGeneration(generation);
  }
}

EngineStandIn::GenerationPtr EngineStandIn::DequeueByRank() {
  // Lowest rank first; in order of arrival within a rank.
  const auto first = std::min_element(
      m_waiting.begin(), m_waiting.end(),
      [](const GenerationPtr& a, const GenerationPtr& b) { return a->rank < b->rank; });
  GenerationPtr generation = *first;
  m_waiting.erase(first);
  ++m_running;
  SampleLoad();
  return generation;
}

void EngineStandIn::Prefill(Generation& generation) {
  std::uint32_t uncached = 0;
  {
    const absl::MutexLock lock(&m_mutex);
    generation.start_ms = NowMs();
    generation.cached_tokens = m_cache.Find(generation.input.prefixes);
    uncached = generation.input.PromptTokens() - generation.cached_tokens;
  }
  std::this_thread::sleep_for(m_options.prefill_time_per_token * uncached);
  const absl::MutexLock lock(&m_mutex);
  generation.started = true;
}

void EngineStandIn::RunGeneration(const GenerationPtr& generation) {
  Prefill(*generation);
  const auto may_go_on = [this, &generation]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
    return m_stopping || !m_faults.stall || generation->cancelled;
  };
  while (true) {
    std::this_thread::sleep_for(m_options.token_interval);
    const absl::MutexLock lock(&m_mutex, absl::Condition(&may_go_on));
    if (generation->cancelled || m_stopping || generation->tokens >= generation->input.max_tokens) {
      break;
    }
    AddToken(*generation);
  }
  const absl::MutexLock lock(&m_mutex);
  if (!generation->cancelled && !m_stopping) {
    FinishAnswer(*generation);
    const std::vector<Prefix>& prefixes = generation->input.prefixes;
    if (!prefixes.empty()) {
      m_cache.Insert(ExtendPrefix(prefixes.back(), "assistant", generation->text));
    }
  }
  generation->end_ms = NowMs();
  generation->ended = true;
  --m_running;
  SampleLoad();
}

void EngineStandIn::SampleLoad() {
  m_load.push_back({std::chrono::steady_clock::now(), m_running, m_waiting.size()});
  if (m_load.size() > kMaxLoadSamples) {
    m_load.pop_front();
  }
}

http::HandlerResult EngineStandIn::Status() {
  const absl::MutexLock lock(&m_mutex);
  const auto visible = std::chrono::steady_clock::now() - m_options.load_lag;
  LoadSample sample;
  for (const LoadSample& candidate : m_load) {
    if (candidate.time <= visible) {
      sample = candidate;
    }
  }
  return OkResponse({{"name", m_options.name},
                     {"incarnation", m_incarnation},
                     {"running", sample.running},
                     {"waiting", sample.waiting},
                     {"cache_tokens_used", m_cache.TokensUsed()},
                     {"cache_tokens_limit", m_options.cache_tokens_limit}});
}

http::HandlerResult EngineStandIn::Load(const http::Request& request) {
  const json order = json::parse(request.body);
  const auto fencing_token = order.at("fencing_token").get<std::uint64_t>();
  const absl::MutexLock lock(&m_mutex);
  const bool taken = !m_options.checks_fencing || fencing_token >= m_highest_fencing_token;
  m_orders.push_back({NowMs(), order.at("version").get<std::string>(), fencing_token, taken});
  if (!taken) {
    return ErrorResponse(409, "old fencing token");
  }
  m_highest_fencing_token = std::max(m_highest_fencing_token, fencing_token);
  m_loaded[order.at("model").get<std::string>()] = order.at("version").get<std::string>();
  return OkResponse({{"loaded", true}});
}

http::HandlerResult EngineStandIn::Models() {
  const absl::MutexLock lock(&m_mutex);
  json orders = json::array();
  for (const Order& order : m_orders) {
    orders.push_back({{"at_ms", order.at_ms},
                      {"version", order.version},
                      {"fencing_token", order.fencing_token},
                      {"taken", order.taken}});
  }
  return OkResponse(
      {{"models", m_loaded}, {"fencing_token", m_highest_fencing_token}, {"orders", orders}});
}

http::HandlerResult EngineStandIn::CacheEvents(const http::Request& request) {
  const std::uint64_t after = ParseNumber(http::QueryParameter(request.query, "after"));
  const auto visible = std::chrono::steady_clock::now() - m_options.event_delay;
  json events = json::array();
  const absl::MutexLock lock(&m_mutex);
  for (const CacheEvent& event : m_cache.Events()) {
    const bool missing = m_options.event_gap > 0 && event.sequence % m_options.event_gap == 0;
    if (event.sequence > after && event.time <= visible && !missing) {
      events.push_back({{"sequence", event.sequence},
                        {"type", event.type},
                        {"prefix_hash", event.prefix.hash},
                        {"tokens", event.prefix.tokens}});
    }
  }
  return OkResponse({{"incarnation", m_incarnation}, {"events", events}});
}

void EngineStandIn::Restart() {
  for (const auto& [id, generation] : m_streams) {
    if (!generation->ended) {
      generation->cancelled = true;
    }
  }
  m_streams.clear();
  m_cache.Clear();
  m_loaded.clear();
  m_incarnation = NewIncarnation();
}

http::HandlerResult EngineStandIn::Control(const http::Request& request) {
  const json control = json::parse(request.body);
  const absl::MutexLock lock(&m_mutex);
  m_faults.fail_next = control.value("fail_next", m_faults.fail_next);
  m_faults.fail_status = control.value("fail_status", m_faults.fail_status);
  m_faults.drop_next = control.value("drop_next", m_faults.drop_next);
  m_faults.cut_next = control.value("cut_next", m_faults.cut_next);
  m_faults.cut_after_bytes = control.value("cut_after_bytes", m_faults.cut_after_bytes);
  m_faults.delay_next = control.value("delay_next", m_faults.delay_next);
  m_faults.delay =
      std::chrono::milliseconds(control.value("delay_ms", std::int64_t{m_faults.delay.count()}));
  m_faults.duplicate_next = control.value("duplicate_next", m_faults.duplicate_next);
  m_faults.stall = control.value("stall", m_faults.stall);
  if (control.value("restart", false)) {
    Restart();
  }
  return OkResponse({{"incarnation", m_incarnation}});
}

http::HandlerResult EngineStandIn::History() {
  std::string lines;
  const absl::MutexLock lock(&m_mutex);
  for (const GenerationPtr& generation : m_history) {
    lines += HistoryLine(*generation, m_options.name);
  }
  return {{200, {{"Content-Type", "application/jsonl"}}, lines}, nullptr, false};
}

}  // namespace wagtailwind::stand_ins
