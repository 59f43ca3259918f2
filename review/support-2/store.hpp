#ifndef WAGTAILWIND_REVIEW_STORE_HPP_
#define WAGTAILWIND_REVIEW_STORE_HPP_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"

namespace review {

/// \brief Stand-in of the platform's store: items, watches, leases and transactions. Entries of
/// replicas expire after three heartbeats.
class Store {
 public:
  enum class Mode { kUp, kReset, kBusy, kSilent };

  Store();
  ~Store();

  [[nodiscard]] std::uint16_t port() const { return m_port; }

  /// \brief Writes a key as the operator or another writer; returns when it is acknowledged.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  /// \brief While the store is not up, it answers no call as usual, and cuts waiting watches in the
  /// modes kReset and kBusy. Entries of replicas do not expire meanwhile.
  void SetMode(Mode mode);

  /// \brief Returns the value of a key; empty if it does not exist.
  [[nodiscard]] std::string Get(const std::string& key);

  /// \brief Returns the current keys with a prefix.
  [[nodiscard]] std::vector<std::string> Keys(const std::string& prefix);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    double last_beat = 0;
  };
  struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };

  void Accept();
  void Expire();
  void Serve(int descriptor);
  [[nodiscard]] std::string Answer(const Message& call, Connection& connection);
  [[nodiscard]] std::string Range(const std::string& target);
  [[nodiscard]] std::string Watch(const std::string& target, Connection& connection);
  [[nodiscard]] std::string Transact(const Message& call);
  void PutLocked(const std::string& key, const std::string& value, std::uint64_t lease);
  void RemoveLocked(const std::string& key);

  std::uint16_t m_port = 0;
  int m_listener = -1;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::atomic<Mode> m_mode{Mode::kUp};
  std::map<std::string, Item> m_items;
  std::vector<Change> m_history;
  std::map<std::uint64_t, double> m_leases;
  std::uint64_t m_revision = 100;
  std::uint64_t m_last_lease = 1000;
};

}  // namespace review

#endif  // WAGTAILWIND_REVIEW_STORE_HPP_
