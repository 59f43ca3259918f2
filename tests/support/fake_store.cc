#include "support/fake_store.h"

#include <algorithm>
#include <utility>

#include "http/message.h"

namespace wagtailwind::testing {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kNotFound = 404;

}  // namespace

StoreCall ParseStoreCall(std::string_view target, const StoreCallNames& names) {
  const std::size_t question = target.find('?');
  const std::string_view query = target.substr(question + 1);
  StoreCall call;
  call.path = std::string(target.substr(0, question));
  if (call.path == names.lease_path || call.path == names.put_path) {
    call.kind = call.path == names.lease_path ? StoreCall::Kind::kLease : StoreCall::Kind::kPut;
    return call;
  }
  call.kind = call.path == names.watch_path ? StoreCall::Kind::kWatch : StoreCall::Kind::kRange;
  call.prefix = http::QueryParameter(query, names.prefix);
  if (call.kind == StoreCall::Kind::kRange) {
    call.after_key = http::QueryParameter(query, names.after);
  } else {
    call.after = std::stoull(http::QueryParameter(query, names.after));
    call.wait = std::chrono::milliseconds(std::stoll(http::QueryParameter(query, names.wait)));
  }
  return call;
}

FakeStore::FakeStore(net::EventLoop& loop, const StoreWire& wire)
    : m_loop(loop),
      m_wire(wire),
      m_server(loop, [this](ScriptedServer::Connection& connection) { Handle(connection); }),
      m_writer(loop) {}

void FakeStore::Put(const std::string& key, const std::string& value) {
  const platform::KeyValueItem change{.key = key, .value = value, .revision = ++m_revision};
  m_items[key] = change;
  m_history.push_back(change);
  AnswerWatches();
}

void FakeStore::Delete(const std::string& key) {
  m_items.erase(key);
  m_history.push_back({.key = key, .value = {}, .revision = ++m_revision, .deleted = true});
  AnswerWatches();
}

void FakeStore::Restore(const Copy& copy) {
  m_items = copy.items;
  m_history = copy.history;
  m_revision = copy.revision;
  m_has_lease = m_has_lease && m_last_lease == copy.last_lease;
  m_last_lease = copy.last_lease;
  ++m_era;
  for (const Watch& watch : m_watches) {
    if (!watch.connection->closed()) {
      watch.connection->Close();
    }
  }
  m_watches.clear();
}

std::string FakeStore::AnswerText(int status, std::string_view body) const {
  return HttpText(status, m_wire.EraHeader() + ": " + std::to_string(m_era) + "\r\n", body);
}

std::vector<std::string> FakeStore::Keys(std::string_view prefix) const {
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<platform::KeyValueItem> FakeStore::Changes(const StoreCall& call) const {
  std::vector<platform::KeyValueItem> changes;
  for (const platform::KeyValueItem& change : m_history) {
    if (change.revision > call.after && change.key.starts_with(call.prefix)) {
      changes.push_back(change);
    }
  }
  return changes;
}

void FakeStore::Answer(ScriptedServer::Connection& connection, const std::string& text) {
  m_last_answers[&connection] = text;
  if (m_delay.count() == 0) {
    connection.Write(text);
    return;
  }
  const std::size_t part = m_part_bytes == 0 ? text.size() : std::min(m_part_bytes, text.size());
  const auto entry = m_delayed.emplace(m_delayed.end());
  *entry = std::make_unique<net::Timer>(m_loop, [this, entry, &connection, text, part] {
    if (!connection.closed()) {
      connection.Write(std::string_view(text).substr(0, part));
      if (part < text.size()) {
        Answer(connection, text.substr(part));
      }
    }
    m_delayed.erase(entry);
  });
  (*entry)->Start(m_delay);
}

void FakeStore::AnswerPage(const Watch& watch, const std::vector<platform::KeyValueItem>& changes) {
  Answer(*watch.connection,
         AnswerText(kOk, m_wire.EncodePage(StoreCall::Kind::kWatch, changes, m_revision, false)));
}

void FakeStore::Handle(ScriptedServer::Connection& connection) {
  const StoreCall call = m_wire.ParseCall(connection.head.target);
  ++calls[call.path];
  if (m_calls_until_refusal >= 0 && m_calls_until_refusal-- == 0) {
    Answer(connection, AnswerText(m_refusal, ""));
    return;
  }
  if (m_endless) {
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    m_writer.Start(connection, "4\r\nmore\r\n");
    return;
  }
  const auto last_answer = m_last_answers.find(&connection);
  if (m_repeats && call.kind == StoreCall::Kind::kWatch && last_answer != m_last_answers.end()) {
    m_repeats = false;
    connection.Write(last_answer->second);
  }
  if (m_fault != 0) {
    if (m_fault > 0) {
      Answer(connection, AnswerText(m_fault, ""));
    }
    return;
  }
  if (call.kind == StoreCall::Kind::kLease) {
    m_has_lease = true;
    Answer(connection, AnswerText(kOk, m_wire.EncodeLease(++m_last_lease)));
    return;
  }
  if (call.kind == StoreCall::Kind::kPut) {
    if (!m_has_lease) {
      Answer(connection, AnswerText(kNotFound, ""));
      return;
    }
    for (const platform::KeyValueWrite& write : m_wire.ParsePuts(connection.body)) {
      Put(write.key, write.value);
    }
    Answer(connection, AnswerText(kOk, "{}"));
    return;
  }
  if (call.kind == StoreCall::Kind::kRange) {
    std::vector<platform::KeyValueItem> items;
    for (const auto& [key, item] : m_items) {
      if (key.starts_with(call.prefix) && key > call.after_key) {
        items.push_back(item);
      }
    }
    const bool has_more = items.size() > m_page_size;
    items.resize(std::min(items.size(), m_page_size));
    Answer(connection, AnswerText(kOk, m_wire.EncodePage(call.kind, items, m_revision, has_more)));
    return;
  }
  if (call.after < m_compacted || call.after > m_revision) {
    Answer(connection, AnswerText(kGone, ""));
    return;
  }
  last_wait = call.wait;
  Watch& watch = m_watches.emplace_back();
  watch.connection = &connection;
  watch.call = call;
  watch.timer = std::make_unique<net::Timer>(m_loop, [this, &watch] {
    if (!watch.connection->closed() && m_fault == 0) {
      AnswerPage(watch, {});
    }
    m_watches.remove_if([&watch](const Watch& entry) { return &entry == &watch; });
  });
  watch.timer->Start(call.wait);
  AnswerWatches();
}

void FakeStore::CutWatchesShort() {
  for (const Watch& watch : m_watches) {
    if (!watch.connection->closed()) {
      AnswerPage(watch, {});
    }
  }
  m_watches.clear();
}

void FakeStore::AnswerWatches() {
  if (m_fault != 0) {
    return;
  }
  m_watches.remove_if([this](const Watch& watch) {
    if (watch.connection->closed()) {
      return true;
    }
    const std::vector<platform::KeyValueItem> changes = Changes(watch.call);
    if (changes.empty()) {
      return false;
    }
    AnswerPage(watch, changes);
    return true;
  });
}

}  // namespace wagtailwind::testing
