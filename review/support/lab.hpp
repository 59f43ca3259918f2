#ifndef WAGTAILWIND_REVIEW_SUPPORT_LAB_HPP_
#define WAGTAILWIND_REVIEW_SUPPORT_LAB_HPP_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Stand-ins of the platform, its clients and its replicas, and a process of the forwarder. All
/// addresses are loopback addresses, and all sockets block with a deadline.
namespace review {

using Steady = std::chrono::steady_clock;
using Time = Steady::time_point;
using Milliseconds = std::chrono::milliseconds;

/// \brief Exit codes of a case.
enum ExitCode : int { kRuleHeld = 0, kRuleBroken = 1, kNotRun = 2 };

/// \brief The file that lists what was sent, answered and run. Used by all threads.
class Record {
 public:
  explicit Record(const std::string& path);

  /// \brief Writes a line, with the milliseconds since the start of the case.
  void Write(std::string_view line);

  [[nodiscard]] Milliseconds Age() const;

 private:
  const Time m_start = Steady::now();
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// \brief Start line, header fields and body of an HTTP message.
struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// \brief Returns the value of a field; empty if it is absent.
  [[nodiscard]] std::string_view Header(std::string_view name) const;
  /// \brief Status of a response.
  [[nodiscard]] int Status() const;
  /// \brief Method and target of a request.
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] std::string Target() const;
};

/// \brief One TCP connection.
class Connection {
 public:
  enum class End : std::uint8_t { kNone, kClosed, kReset, kTimedOut, kMalformed };

  explicit Connection(int descriptor) noexcept : m_descriptor(descriptor) {}
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) noexcept;
  ~Connection() { Close(); }

  /// \brief Connects to a loopback port; not open if that fails.
  [[nodiscard]] static Connection Open(std::uint16_t port);

  [[nodiscard]] bool IsOpen() const noexcept { return m_descriptor >= 0; }
  /// \brief Why the last call failed.
  [[nodiscard]] End end() const noexcept { return m_end; }
  /// \brief Whether bytes were read since the last call of this function.
  [[nodiscard]] bool TakeHadBytes() noexcept { return std::exchange(m_had_bytes, false); }

  /// \brief Sends all bytes; false if the peer has left or does not read until the deadline.
  bool Send(std::string_view bytes, Time deadline);

  /// \brief Reads a head, without the body that follows it.
  [[nodiscard]] std::optional<Message> ReadHead(Time deadline);

  /// \brief Reads the body that the head announces, which has a length or is chunked.
  [[nodiscard]] bool ReadBody(Message& message, Time deadline);

  /// \brief Whether the peer has closed the connection. Waits for it up to the deadline; bytes that
  /// arrive meanwhile stay readable.
  [[nodiscard]] bool HasPeerLeft(Time deadline);

  void Close() noexcept;
  /// \brief Closes the connection with a reset.
  void Reset() noexcept;

 private:
  [[nodiscard]] bool Fill(Time deadline);
  [[nodiscard]] std::optional<std::string> ReadUntil(std::string_view delimiter, Time deadline);
  [[nodiscard]] std::optional<std::string> ReadBytes(std::size_t count, Time deadline);

  int m_descriptor;
  std::string m_buffer;
  End m_end = End::kNone;
  bool m_had_bytes = false;
};

[[nodiscard]] std::string_view ToText(Connection::End end);

/// \brief Serves each connection in a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Connection connection)>;

  explicit Server(Handler handler);

  [[nodiscard]] std::uint16_t port() const noexcept { return m_port; }
  [[nodiscard]] std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  std::uint16_t m_port = 0;
};

/// \brief The platform's store, as far as forwarders use it. Its history is complete and its
/// answers are linearizable.
class Store {
 public:
  Store();

  [[nodiscard]] std::string Address() const { return m_server.Address(); }

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool deleted = false;
  };

  void Serve(Connection connection);
  [[nodiscard]] std::pair<int, std::string> Answer(const Message& request);
  [[nodiscard]] std::pair<int, std::string> Range(const std::map<std::string, std::string>& query);
  [[nodiscard]] std::pair<int, std::string> Watch(const std::map<std::string, std::string>& query);
  [[nodiscard]] std::pair<int, std::string> Transact(std::string_view body);
  /// The lock must be held.
  void Write(Item item);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 1;
  std::uint64_t m_last_lease = 0;
  std::map<std::string, Item> m_items;
  std::vector<Item> m_history;
  /// Last, because its threads use the other members.
  Server m_server;
};

/// \brief Fields of a route that the cases use.
struct Route {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 0;
  int objective_ms = 0;
  int attempts = 1;
  bool has_prompt = false;
  bool resumable = false;
};

/// \brief Encodes a configuration whose routes share one host and whose one tenant has one key.
[[nodiscard]] std::string EncodeConfiguration(std::uint64_t version, const std::string& host,
                                              const std::vector<Route>& routes,
                                              const std::string& tenant, const std::string& key);

/// \brief Encodes the entry of a replica in the store.
[[nodiscard]] std::string EncodeReplica(const std::string& service, const std::string& address,
                                        const std::string& zone, int slots, std::int64_t born);

/// \brief A process of the forwarder, started with the command of the deploy file and the
/// platform's settings for the site.
class Forwarder {
 public:
  /// \brief `folder` receives the settings and the log.
  Forwarder(std::string program, const std::string& settings_template, const std::string& folder,
            const std::string& name, const std::string& zone, const std::string& store);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  void Start();
  /// \brief Waits until the process says that it is ready.
  [[nodiscard]] bool WaitUntilReady(Milliseconds limit) const;
  void Signal(int signal) const;
  /// \brief Returns the wait status once the process has ended.
  [[nodiscard]] std::optional<int> PollEnd();

  [[nodiscard]] std::uint16_t port() const noexcept { return m_front; }
  [[nodiscard]] const std::string& name() const noexcept { return m_name; }

 private:
  std::string m_program;
  std::string m_name;
  std::string m_settings;
  std::string m_log;
  std::uint16_t m_front;
  std::uint16_t m_ready;
  std::uint16_t m_metrics;
  pid_t m_process = -1;
};

/// \brief Value of an environment variable, or the fallback.
[[nodiscard]] std::string Environment(const char* name, const std::string& fallback);

/// \brief Ends the case, without waiting for its threads.
[[noreturn]] void Finish(ExitCode code);

}  // namespace review

#endif  // WAGTAILWIND_REVIEW_SUPPORT_LAB_HPP_
