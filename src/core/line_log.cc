#include "core/line_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <ctime>
#include <string>

#include "core/log.h"
#include "core/log_level_name.h"

// Alternative implementation of core/log.h for single-threaded programs with little memory and CPU
// time: it has a bounded buffer and needs no logging library. A program links either this file or
// log.cc.
namespace wagtailwind {

namespace {

// Holds about half a second of log lines at the highest rate of a small router.
constexpr std::size_t kMaxBufferedBytes = 128U << 10U;

// Lines below level warn are dropped above this size, which leaves space for warnings and errors.
constexpr std::size_t kMaxRoutineBytes = 96U << 10U;

// A pipe accepts at least this many bytes without blocking when poll() reports it as writable.
constexpr std::size_t kMaxWriteBytes = 4096;

struct LineLogState {
  LogLevel minimum = LogLevel::kInfo;
  std::string process;
  std::string buffer;
  std::uint64_t dropped = 0;
  std::time_t second = 0;
  char second_text[24] = {};
};

LineLogState& GetState() {
  static LineLogState state;
  return state;
}

void AppendEscaped(std::string& line, std::string_view text) {
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    if (character == '"' || character == '\\') {
      line.push_back('\\');
      line.push_back(character);
    } else if (byte < kFirstPrintable || byte >= kDelete) {
      char escape[8];
      std::snprintf(escape, sizeof(escape), "\\u%04x", byte);
      line.append(escape);
    } else {
      line.push_back(character);
    }
  }
}

void AppendTime(LineLogState& state, std::string& line) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (now.tv_sec != state.second) {
    state.second = now.tv_sec;
    std::tm utc{};
    gmtime_r(&now.tv_sec, &utc);
    std::strftime(state.second_text, sizeof(state.second_text), "%Y-%m-%dT%H:%M:%S", &utc);
  }
  constexpr long kNanosecondsPerMillisecond = 1'000'000;
  char milliseconds[24];
  std::snprintf(milliseconds, sizeof(milliseconds), ".%03ldZ",
                now.tv_nsec / kNanosecondsPerMillisecond);
  line.append(state.second_text).append(milliseconds);
}

}  // namespace

void InitialiseLogging(LogLevel minimum, std::string_view process_name) {
  LineLogState& state = GetState();
  state.minimum = minimum;
  state.process = std::string(process_name);
}

void Log(const LogEvent& event, std::initializer_list<LogField> fields) {
  LineLogState& state = GetState();
  if (event.level < state.minimum) {
    return;
  }
  const std::size_t limit = event.level >= LogLevel::kWarn ? kMaxBufferedBytes : kMaxRoutineBytes;
  if (state.buffer.size() >= limit) {
    ++state.dropped;
    return;
  }
  std::string& line = state.buffer;
  line.append("{\"time\":\"");
  AppendTime(state, line);
  line.append("\",\"level\":\"").append(detail::LevelName(event.level));
  line.append("\",\"event\":").append(std::to_string(event.number));
  line.append(",\"name\":\"").append(event.name);
  line.append("\",\"process\":\"");
  AppendEscaped(line, state.process);
  line.push_back('"');
  for (const LogField& field : fields) {
    line.append(",\"").append(field.key).append("\":\"");
    AppendEscaped(line, field.value);
    line.push_back('"');
  }
  line.append("}\n");
}

void FlushLogLines() noexcept {
  LineLogState& state = GetState();
  std::size_t written = 0;
  while (written < state.buffer.size()) {
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      break;
    }
    const ssize_t count = write(STDOUT_FILENO, state.buffer.data() + written,
                                std::min(kMaxWriteBytes, state.buffer.size() - written));
    if (count <= 0) {
      break;
    }
    written += static_cast<std::size_t>(count);
  }
  state.buffer.erase(0, written);
}

std::uint64_t DroppedLogLines() noexcept { return GetState().dropped; }

}  // namespace wagtailwind
