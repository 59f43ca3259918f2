#ifndef WAGTAILWIND_TESTS_STAND_INS_HISTORY_FILE_H_
#define WAGTAILWIND_TESTS_STAND_INS_HISTORY_FILE_H_

#include <string>
#include <string_view>

namespace wagtailwind::stand_ins {

/// \brief Append-only file of history lines, which keeps its lines when the stand-in is killed.
/// Several processes may write to one file. If the path is empty, nothing is written.
class HistoryFile {
 public:
  explicit HistoryFile(const std::string& path);
  ~HistoryFile();
  HistoryFile(const HistoryFile&) = delete;
  HistoryFile& operator=(const HistoryFile&) = delete;

  /// \brief Writes a whole line with a single write() call.
  void Append(std::string_view line) const;

 private:
  int m_file = -1;
};

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_HISTORY_FILE_H_
