#include "stand_ins/history_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>

namespace wagtailwind::stand_ins {

HistoryFile::HistoryFile(const std::string& path) {
  if (path.empty()) {
    return;
  }
  m_file = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (m_file < 0) {
    throw std::runtime_error("cannot open the history file " + path);
  }
}

HistoryFile::~HistoryFile() {
  if (m_file >= 0) {
    close(m_file);
  }
}

void HistoryFile::Append(std::string_view line) const {
  if (m_file >= 0 && write(m_file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    throw std::runtime_error("cannot write to the history file");
  }
}

}  // namespace wagtailwind::stand_ins
