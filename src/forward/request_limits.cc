#include "forward/request_limits.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <utility>

#include "forward/log_events.h"

namespace wagtailwind::forward {

namespace {

using namespace std::chrono_literals;

// Time before a router shares what it has seen. Of the routers that see a change at about the same
// time, the first one writes the record, and the others read it in this time.
constexpr std::chrono::milliseconds kMinShareDelay = 20ms;
constexpr std::chrono::milliseconds kMaxShareDelay = 400ms;

// An answer of the endpoint itself outweighs records for this time, in which a record of an earlier
// state may still be on its way.
constexpr std::chrono::milliseconds kOwnAnswerTime = 1'000ms;

// Relative change of a limit from which it is shared again.
constexpr double kMinChange = 0.1;

constexpr std::string_view kFolder = "limits/";

// Value of a record if the endpoint has no limit.
constexpr std::string_view kUnlimited = "none";

bool IsSame(std::optional<double> left, std::optional<double> right) {
  if (!left || !right) {
    return left.has_value() == right.has_value();
  }
  return std::abs(*left - *right) <= kMinChange * std::max(*left, *right);
}

std::string ToText(std::optional<double> limit) {
  if (!limit) {
    return std::string(kUnlimited);
  }
  char digits[32];
  const auto result = std::to_chars(std::begin(digits), std::end(digits), *limit);
  return {digits, result.ptr};
}

}  // namespace

std::string RequestLimits::Prefix(const DeploymentAdapter& adapter) {
  return std::string(adapter.RouterPrefix()) + std::string(kFolder);
}

RequestLimits::RequestLimits(ForwardContext& context, const DeploymentAdapter& adapter,
                             RecordWriter& writer)
    : m_context(context), m_prefix(Prefix(adapter)), m_writer(writer) {}

RequestLimits::~RequestLimits() = default;

std::string RequestLimits::KeyOf(const balancing::Endpoint& endpoint) {
  return endpoint.record.name.value() + "@" + std::to_string(endpoint.record.incarnation);
}

void RequestLimits::OnAnswer(const balancing::EndpointPtr& endpoint, std::optional<double> limit) {
  m_context.SetRequestLimit(*endpoint, limit);
  std::string key = KeyOf(*endpoint);
  auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    if (!limit) {
      return;
    }
    RemoveGone();
    found = m_entries.try_emplace(key).first;
  }
  Entry& entry = found->second;
  entry.endpoint = endpoint;
  entry.seen = limit;
  entry.seen_at = m_context.clock.Now();
  if (IsSame(entry.seen, entry.shared) || entry.timer) {
    return;
  }
  entry.timer =
      std::make_unique<net::Timer>(m_context.loop, [this, key = std::move(key)] { OnTimer(key); });
  constexpr auto kSpread = static_cast<std::uint64_t>((kMaxShareDelay - kMinShareDelay).count());
  entry.timer->Start(kMinShareDelay +
                     std::chrono::milliseconds(m_context.random.NextBelow(kSpread)));
}

void RequestLimits::OnTimer(const std::string& key) {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  const std::string record_key = m_prefix + key;
  if (!IsSame(entry.seen, entry.shared)) {
    m_writer.Put(record_key, ToText(entry.seen));
    // The record comes back with a watch; until then, it counts as read.
    entry.shared = entry.seen;
  }
  entry.timer.reset();
}

void RequestLimits::OnSnapshot(const std::vector<platform::KeyValueItem>& items,
                               BootTime valid_as_of) {
  OnChanges(items, valid_as_of);
}

void RequestLimits::OnChanges(const std::vector<platform::KeyValueItem>& changes,
                              BootTime /*valid_as_of*/) {
  for (const platform::KeyValueItem& change : changes) {
    if (!change.deleted && change.key.starts_with(m_prefix)) {
      OnRecord(change);
    }
  }
}

void RequestLimits::OnRecord(const platform::KeyValueItem& item) {
  const std::string key = item.key.substr(m_prefix.size());
  const std::optional<double> limit = balancing::ParseRequestLimit(item.value);
  if (!limit && item.value != kUnlimited) {
    Log(kLimitRecordIgnored, {{"key", item.key}, {"revision", item.revision}});
    return;
  }
  const balancing::EndpointPtr endpoint =
      m_context.endpoints.Find(std::string_view(key).substr(0, key.rfind('@')));
  if (!endpoint || KeyOf(*endpoint) != key) {
    return;
  }
  Entry& entry = m_entries[key];
  entry.endpoint = endpoint;
  entry.shared = limit;
  const SteadyTime now = m_context.clock.Now();
  if (now - entry.seen_at > kOwnAnswerTime) {
    m_context.SetRequestLimit(*endpoint, limit);
  }
}

void RequestLimits::Tick() {
  const std::uint64_t turn = balancing::CheckTurn(m_context.clock.WallNow());
  if (turn == std::exchange(m_turn, turn)) {
    return;
  }
  const balancing::RouterInfo self{.name = m_context.self, .zone = m_context.zone};
  for (auto& [key, entry] : m_entries) {
    entry.endpoint->quota.SetCheckPermit(balancing::MayCheck(key, self, m_context.routers, turn));
  }
}

void RequestLimits::RemoveGone() {
  std::erase_if(m_entries, [this](const auto& entry) {
    return m_context.endpoints.Find(entry.second.endpoint->record.name.value()) !=
           entry.second.endpoint;
  });
}

}  // namespace wagtailwind::forward
