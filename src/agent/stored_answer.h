#ifndef WAGTAILWIND_AGENT_STORED_ANSWER_H_
#define WAGTAILWIND_AGENT_STORED_ANSWER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "core/clock.h"
#include "core/ids.h"
#include "http/message.h"
#include "requests/outcome.h"

namespace wagtailwind::agent {

/// \brief Status, headers and cached prompt tokens of an answer; precedes its bytes.
struct AnswerHead {
  int status = 0;
  std::vector<http::Header> headers;
  std::uint32_t cached_tokens = 0;
};

/// \brief How an answer ended.
struct AnswerEnd {
  bool complete = false;
  requests::Outcome outcome = requests::Outcome::kUnknown;
  requests::FailureReason reason = requests::FailureReason::kNone;
};

/// \brief Part of an answer that starts at an offset.
struct AnswerPart {
  std::optional<AnswerHead> head;
  std::string bytes;
  std::uint64_t total_bytes = 0;
  /// Set only if the answer has ended and no more bytes follow.
  std::optional<AnswerEnd> end;
};

/// \brief Total number of bytes of all answers.
using AnswerByteCount = std::atomic<std::size_t>;

/// \brief The bytes of one answer, written by one execution and read by any number of readers.
/// Safe to use from several threads.
class StoredAnswer {
 public:
  StoredAnswer(std::string id, OrganisationName organisation, const Clock& clock,
               std::shared_ptr<AnswerByteCount> total);
  ~StoredAnswer();
  StoredAnswer(const StoredAnswer&) = delete;
  StoredAnswer& operator=(const StoredAnswer&) = delete;

  [[nodiscard]] const std::string& Id() const noexcept { return m_id; }
  [[nodiscard]] const OrganisationName& Organisation() const noexcept { return m_organisation; }

  void SetHead(AnswerHead head);

  /// \brief Adds bytes; ignored after the end. Use AnswerStore::Append(), which checks the limits.
  void Append(std::string_view bytes);

  /// \brief Ends the answer; ignored if it has already ended.
  void SetEnd(AnswerEnd end);

  /// \brief Reads at most `limit` bytes from `offset`.
  [[nodiscard]] AnswerPart Read(std::uint64_t offset, std::size_t limit) const;

  [[nodiscard]] std::size_t Size() const;
  [[nodiscard]] std::optional<AnswerEnd> End() const;
  [[nodiscard]] std::optional<SteadyTime> EndedAt() const;

  /// \brief Returns whether the last bytes are `tail`.
  [[nodiscard]] bool EndsWith(std::string_view tail) const;

  /// \brief Returns the result of `predicate` for all bytes; called under the lock.
  [[nodiscard]] bool Satisfies(const std::function<bool(std::string_view)>& predicate) const;

  /// \brief Registers a reader. `notify` is called after each change, from the writer's thread; it
  /// must not block or call back. No call follows RemoveReader().
  [[nodiscard]] std::uint64_t AddReader(std::function<void()> notify);
  void RemoveReader(std::uint64_t reader);

  /// \brief Returns the time since which there has been no reader; nullopt while there is one.
  [[nodiscard]] std::optional<SteadyTime> UnreadSince() const;

 private:
  void NotifyReaders() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const std::string m_id;
  const OrganisationName m_organisation;
  const Clock& m_clock;
  const std::shared_ptr<AnswerByteCount> m_total;
  mutable absl::Mutex m_mutex;
  std::optional<AnswerHead> m_head ABSL_GUARDED_BY(m_mutex);
  std::string m_bytes ABSL_GUARDED_BY(m_mutex);
  std::optional<AnswerEnd> m_end ABSL_GUARDED_BY(m_mutex);
  std::optional<SteadyTime> m_ended_at ABSL_GUARDED_BY(m_mutex);
  std::map<std::uint64_t, std::function<void()>> m_readers ABSL_GUARDED_BY(m_mutex);
  std::uint64_t m_next_reader ABSL_GUARDED_BY(m_mutex) = 1;
  SteadyTime m_unread_since ABSL_GUARDED_BY(m_mutex);
};

}  // namespace wagtailwind::agent

#endif  // WAGTAILWIND_AGENT_STORED_ANSWER_H_
