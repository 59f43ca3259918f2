#ifndef WAGTAILWIND_TESTS_SUPPORT_FAKE_STORE_H_
#define WAGTAILWIND_TESTS_SUPPORT_FAKE_STORE_H_

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "platform/key_value_codec.h"
#include "support/scripted_server.h"

namespace wagtailwind::testing {

/// \brief A parsed request to the key-value service.
struct StoreCall {
  enum class Kind : std::uint8_t { kRange, kWatch, kLease, kPut };
  Kind kind = Kind::kRange;
  std::string path;
  std::string prefix;
  /// Of range requests: the last key of the previous page.
  std::string after_key;
  /// Of watches: changes after this revision are requested, for at most `wait`.
  platform::Revision after = 0;
  std::chrono::milliseconds wait{0};
};

/// \brief Path and query parameter names of the requests of a protocol.
struct StoreCallNames {
  std::string_view watch_path;
  std::string_view lease_path;
  std::string_view put_path;
  std::string_view prefix;
  std::string_view after;
  std::string_view wait;
};

/// \brief Parses a request target. Every path that is not in `names` is a range request.
[[nodiscard]] StoreCall ParseStoreCall(std::string_view target, const StoreCallNames& names);

/// \brief Server-side counterpart of a KeyValueCodec.
class StoreWire {
 public:
  virtual ~StoreWire() = default;

  /// \brief Name of the header that tells the era in all answers.
  [[nodiscard]] virtual std::string EraHeader() const = 0;

  /// \brief Parses the target of a request.
  [[nodiscard]] virtual StoreCall ParseCall(const std::string& target) const = 0;

  /// \brief Parses the body of a request that writes records.
  [[nodiscard]] virtual std::vector<platform::KeyValueWrite> ParsePuts(
      const std::string& body) const = 0;

  /// \brief Encodes the body of a successful response to a request for a lease.
  [[nodiscard]] virtual std::string EncodeLease(platform::LeaseId lease) const = 0;

  /// \brief Encodes the body of a successful response.
  [[nodiscard]] virtual std::string EncodePage(StoreCall::Kind kind,
                                               const std::vector<platform::KeyValueItem>& items,
                                               platform::Revision revision,
                                               bool has_more) const = 0;
};

/// \brief A key-value service on an event loop, with watches and fault injection.
class FakeStore {
 public:
  /// \brief `wire` must outlive the store.
  FakeStore(net::EventLoop& loop, const StoreWire& wire);

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  /// \brief Compacts the history: watches from an earlier revision get status 410.
  void DropHistory() { m_compacted = m_revision; }

  /// \brief Answers all waiting watches without a change before their wait time has passed.
  void CutWatchesShort();

  /// \brief Answers all calls with this status. 0 restores normal answers, a negative value leaves
  /// calls unanswered.
  void SetFault(int status) { m_fault = status; }

  /// \brief Answers all calls with bytes without end, or stops doing so.
  void SetEndless(bool endless) { m_endless = endless; }

  /// \brief Writes the last answer of the connection once more when it carries the next watch.
  void RepeatNextAnswer() { m_repeats = true; }

  /// \brief Number of connections that were opened.
  [[nodiscard]] int Connections() const noexcept { return m_server.accepted; }

  /// \brief Number of bytes of answers without end.
  [[nodiscard]] std::size_t EndlessBytes() const noexcept { return m_writer.written; }

  /// \brief Sends each answer in parts of `bytes`, with a pause before each.
  void SetParts(std::size_t bytes, std::chrono::milliseconds pause) {
    m_part_bytes = bytes;
    m_delay = pause;
  }

  /// \brief Limits the number of items of a range answer.
  void SetPageSize(std::size_t items) { m_page_size = items; }

  /// \brief Answers the call after the next `skipped` ones with this status.
  void RefuseOnce(int skipped, int status) {
    m_calls_until_refusal = skipped;
    m_refusal = status;
  }

  /// \brief Delays each answer.
  void SetDelay(std::chrono::milliseconds delay) { m_delay = delay; }

  /// \brief Answers writes with the status for a lease that has ended, until the next lease.
  void EndLeases() { m_has_lease = false; }

  /// \brief What a copy of the service holds.
  struct Copy {
    std::map<std::string, platform::KeyValueItem> items;
    std::vector<platform::KeyValueItem> history;
    platform::Revision revision = 0;
    platform::LeaseId last_lease = 0;
  };

  /// \brief Returns a copy of the service as it is now.
  [[nodiscard]] Copy TakeCopy() const {
    return {
        .items = m_items, .history = m_history, .revision = m_revision, .last_lease = m_last_lease};
  }

  /// \brief Replaces the content by that of a copy: later writes and leases are gone, their
  /// revisions are given out again, and the era rises by one. Waiting watches are cut.
  void Restore(const Copy& copy);

  /// \brief Returns the current keys that begin with a prefix.
  [[nodiscard]] std::vector<std::string> Keys(std::string_view prefix) const;

  /// \brief Returns the value of a key that exists.
  [[nodiscard]] const std::string& Value(const std::string& key) const {
    return m_items.at(key).value;
  }

  [[nodiscard]] std::string Address() const { return m_server.Address(); }

  /// Number of calls by path.
  std::map<std::string, int> calls;
  /// Wait time that the last watch requested.
  std::chrono::milliseconds last_wait{0};

 private:
  struct Watch {
    ScriptedServer::Connection* connection = nullptr;
    StoreCall call;
    std::unique_ptr<net::Timer> timer;
  };

  void Handle(ScriptedServer::Connection& connection);
  void Answer(ScriptedServer::Connection& connection, const std::string& text);
  /// Returns an answer with the header that names the era.
  [[nodiscard]] std::string AnswerText(int status, std::string_view body) const;
  void AnswerPage(const Watch& watch, const std::vector<platform::KeyValueItem>& changes);
  [[nodiscard]] std::vector<platform::KeyValueItem> Changes(const StoreCall& call) const;
  void AnswerWatches();

  net::EventLoop& m_loop;
  const StoreWire& m_wire;
  ScriptedServer m_server;
  EndlessWriter m_writer;
  std::size_t m_part_bytes = 0;
  std::size_t m_page_size = 1'000;
  int m_calls_until_refusal = -1;
  int m_refusal = 0;
  bool m_endless = false;
  bool m_repeats = false;
  /// The last answers by connection.
  std::map<const ScriptedServer::Connection*, std::string> m_last_answers;
  std::map<std::string, platform::KeyValueItem> m_items;
  std::vector<platform::KeyValueItem> m_history;
  std::list<Watch> m_watches;
  /// Timers of the delayed answers.
  std::list<std::unique_ptr<net::Timer>> m_delayed;
  platform::Revision m_revision = 10;
  platform::Revision m_compacted = 0;
  std::chrono::milliseconds m_delay{0};
  int m_fault = 0;
  platform::Era m_era = 1;
  platform::LeaseId m_last_lease = 0;
  bool m_has_lease = false;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_STORE_H_
