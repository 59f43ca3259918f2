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

/// \brief A read of a key-value service.
struct StoreCall {
  enum class Kind : std::uint8_t { kRange, kWatch };
  Kind kind = Kind::kRange;
  std::string path;
  std::string prefix;
  /// Watches only.
  platform::Revision after = 0;
  std::chrono::milliseconds wait{0};
};

/// \brief Names in the target of a read.
struct StoreCallNames {
  std::string_view watch_path;
  std::string_view prefix;
  std::string_view after;
  std::string_view wait;
};

[[nodiscard]] StoreCall ParseStoreCall(std::string_view target, const StoreCallNames& names);

/// \brief The service's side of a KeyValueCodec.
class StoreWire {
 public:
  virtual ~StoreWire() = default;

  /// \brief Reads a request's target.
  [[nodiscard]] virtual StoreCall ParseCall(const std::string& target) const = 0;

  /// \brief Body of a successful answer.
  [[nodiscard]] virtual std::string EncodePage(StoreCall::Kind kind,
                                               const std::vector<platform::KeyValueItem>& items,
                                               platform::Revision revision) const = 0;
};

/// \brief A key-value service on the loop: keys, watches, and faults.
class FakeStore {
 public:
  /// \brief `wire` outlives the store.
  FakeStore(net::EventLoop& loop, const StoreWire& wire);

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  /// \brief Forgets the history: watches from before get status 410.
  void DropHistory() { m_compacted = m_revision; }

  /// \brief Ends all waiting watches before their time, without a change.
  void CutWatchesShort();

  /// \brief Answers each call with this status; 0: as usual; below 0: not at all.
  void SetFault(int status) { m_fault = status; }

  /// \brief Each answer comes this much later.
  void SetDelay(std::chrono::milliseconds delay) { m_delay = delay; }

  [[nodiscard]] std::string Address() const { return m_server.Address(); }

  /// Calls by their path.
  std::map<std::string, int> calls;
  /// Of the last watch.
  std::chrono::milliseconds last_wait{0};

 private:
  struct Watch {
    ScriptedServer::Connection* connection = nullptr;
    StoreCall call;
    std::unique_ptr<net::Timer> timer;
  };

  void Handle(ScriptedServer::Connection& connection);
  void Answer(ScriptedServer::Connection& connection, const std::string& text);
  void AnswerPage(const Watch& watch, const std::vector<platform::KeyValueItem>& changes);
  [[nodiscard]] std::vector<platform::KeyValueItem> Changes(const StoreCall& call) const;
  void AnswerWatches();

  net::EventLoop& m_loop;
  const StoreWire& m_wire;
  ScriptedServer m_server;
  std::map<std::string, platform::KeyValueItem> m_items;
  std::vector<platform::KeyValueItem> m_history;
  std::list<Watch> m_watches;
  /// Of answers that are delayed.
  std::list<std::unique_ptr<net::Timer>> m_delayed;
  platform::Revision m_revision = 10;
  platform::Revision m_compacted = 0;
  std::chrono::milliseconds m_delay{0};
  int m_fault = 0;
};

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_FAKE_STORE_H_
