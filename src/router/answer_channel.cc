#include "router/answer_channel.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace wagtailwind::router {

namespace {

void CallIfSet(const std::function<void()>& function) {
  if (function) {
    function();
  }
}

}  // namespace

bool AnswerChannel::Readable() const {
  return m_ended || (m_head.streamed && m_read_offset < m_data.size());
}

bool AnswerChannel::Writable() const { return m_abandoned || Unread() <= m_limit; }

std::size_t AnswerChannel::Unread() const { return m_data.size() - m_read_offset; }

void AnswerChannel::SetHead(ResponseHead head) {
  const absl::MutexLock lock(&m_mutex);
  m_head = std::move(head);
}

void AnswerChannel::Append(std::string_view data) {
  {
    const absl::MutexLock lock(&m_mutex);
    if (m_abandoned || m_ended) {
      return;
    }
    if (m_read_offset == m_data.size()) {
      m_data.clear();
      m_read_offset = 0;
    }
    m_data.append(data);
  }
  NotifyReadable();
}

void AnswerChannel::End() {
  {
    const absl::MutexLock lock(&m_mutex);
    m_ended = true;
    m_on_abandoned = nullptr;
  }
  NotifyReadable();
}

void AnswerChannel::NotifyReadable() {
  std::function<void()> readable;
  {
    const absl::MutexLock lock(&m_mutex);
    if (Readable()) {
      readable = std::exchange(m_when_readable, nullptr);
    }
  }
  CallIfSet(readable);
}

void AnswerChannel::NotifyWritable() {
  std::function<void()> writable;
  {
    const absl::MutexLock lock(&m_mutex);
    if (Writable()) {
      writable = std::exchange(m_when_writable, nullptr);
    }
  }
  CallIfSet(writable);
}

void AnswerChannel::WhenWritable(std::function<void()> writable) {
  {
    const absl::MutexLock lock(&m_mutex);
    m_when_writable = std::move(writable);
  }
  NotifyWritable();
}

void AnswerChannel::WhenReadable(std::function<void()> readable) {
  {
    const absl::MutexLock lock(&m_mutex);
    m_when_readable = std::move(readable);
  }
  NotifyReadable();
}

void AnswerChannel::SetOnAbandoned(std::function<void()> abandoned) {
  {
    const absl::MutexLock lock(&m_mutex);
    if (!m_abandoned) {
      m_on_abandoned = m_ended ? nullptr : std::move(abandoned);
      return;
    }
  }
  CallIfSet(abandoned);
}

bool AnswerChannel::IsReadable() const {
  const absl::MutexLock lock(&m_mutex);
  return Readable();
}

bool AnswerChannel::IsWritable() const {
  const absl::MutexLock lock(&m_mutex);
  return Writable();
}

ResponseHead AnswerChannel::Head() const {
  const absl::MutexLock lock(&m_mutex);
  return m_head;
}

std::size_t AnswerChannel::Read(std::span<char> buffer) {
  std::size_t count = 0;
  {
    const absl::MutexLock lock(&m_mutex);
    count = std::min(buffer.size(), Unread());
    std::memcpy(buffer.data(), m_data.data() + m_read_offset, count);
    m_read_offset += count;
    // Keeps the buffer near its limit if the reader never catches up completely.
    if (m_read_offset > m_limit) {
      m_data.erase(0, m_read_offset);
      m_read_offset = 0;
    }
  }
  NotifyWritable();
  return count;
}

std::string AnswerChannel::ReadAll() {
  const absl::MutexLock lock(&m_mutex);
  std::string all = m_data.substr(m_read_offset);
  m_read_offset = m_data.size();
  return all;
}

bool AnswerChannel::AtEnd() const {
  const absl::MutexLock lock(&m_mutex);
  return m_ended && m_read_offset == m_data.size();
}

void AnswerChannel::Abandon() {
  std::function<void()> abandoned;
  {
    const absl::MutexLock lock(&m_mutex);
    m_abandoned = true;
    abandoned = std::exchange(m_on_abandoned, nullptr);
  }
  NotifyWritable();
  CallIfSet(abandoned);
}

}  // namespace wagtailwind::router
