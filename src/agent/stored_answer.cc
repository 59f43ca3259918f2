#include "agent/stored_answer.h"

#include <utility>

namespace wagtailwind::agent {

StoredAnswer::StoredAnswer(std::string id, OrganisationName organisation, const Clock& clock,
                           std::shared_ptr<AnswerByteCount> total)
    : m_id(std::move(id)),
      m_organisation(std::move(organisation)),
      m_clock(clock),
      m_total(std::move(total)),
      m_unread_since(clock.Now()) {}

StoredAnswer::~StoredAnswer() { *m_total -= m_bytes.size(); }

void StoredAnswer::SetHead(AnswerHead head) {
  const absl::MutexLock lock(&m_mutex);
  if (m_end || m_head) {
    return;
  }
  m_head = std::move(head);
  NotifyReaders();
}

void StoredAnswer::Append(std::string_view bytes) {
  const absl::MutexLock lock(&m_mutex);
  if (m_end) {
    return;
  }
  m_bytes.append(bytes);
  *m_total += bytes.size();
  NotifyReaders();
}

void StoredAnswer::SetEnd(AnswerEnd end) {
  const absl::MutexLock lock(&m_mutex);
  if (m_end) {
    return;
  }
  m_end = end;
  m_ended_at = m_clock.Now();
  NotifyReaders();
}

AnswerPart StoredAnswer::Read(std::uint64_t offset, std::size_t limit) const {
  const absl::MutexLock lock(&m_mutex);
  AnswerPart part;
  part.head = m_head;
  part.total_bytes = m_bytes.size();
  if (offset < m_bytes.size()) {
    part.bytes = m_bytes.substr(offset, limit);
  }
  if (offset + part.bytes.size() >= m_bytes.size()) {
    part.end = m_end;
  }
  return part;
}

std::size_t StoredAnswer::Size() const {
  const absl::MutexLock lock(&m_mutex);
  return m_bytes.size();
}

std::optional<AnswerEnd> StoredAnswer::End() const {
  const absl::MutexLock lock(&m_mutex);
  return m_end;
}

std::optional<SteadyTime> StoredAnswer::EndedAt() const {
  const absl::MutexLock lock(&m_mutex);
  return m_ended_at;
}

bool StoredAnswer::EndsWith(std::string_view tail) const {
  const absl::MutexLock lock(&m_mutex);
  return std::string_view(m_bytes).ends_with(tail);
}

bool StoredAnswer::Satisfies(const std::function<bool(std::string_view)>& predicate) const {
  const absl::MutexLock lock(&m_mutex);
  return predicate(m_bytes);
}

std::uint64_t StoredAnswer::AddReader(std::function<void()> notify) {
  const absl::MutexLock lock(&m_mutex);
  m_readers.emplace(m_next_reader, std::move(notify));
  return m_next_reader++;
}

void StoredAnswer::RemoveReader(std::uint64_t reader) {
  const absl::MutexLock lock(&m_mutex);
  if (m_readers.erase(reader) > 0 && m_readers.empty()) {
    m_unread_since = m_clock.Now();
  }
}

std::optional<SteadyTime> StoredAnswer::UnreadSince() const {
  const absl::MutexLock lock(&m_mutex);
  return m_readers.empty() ? std::optional(m_unread_since) : std::nullopt;
}

void StoredAnswer::NotifyReaders() {
  // Called under the lock, so that no notification follows RemoveReader(). The callbacks only post
  // to an event loop.
  for (const auto& [reader, notify] : m_readers) {
    notify();
  }
}

}  // namespace wagtailwind::agent
