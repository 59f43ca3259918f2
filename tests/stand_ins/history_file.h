#ifndef WAGTAILWIND_TESTS_STAND_INS_HISTORY_FILE_H_
#define WAGTAILWIND_TESTS_STAND_INS_HISTORY_FILE_H_

#include <string>
#include <string_view>

namespace wagtailwind::stand_ins {

/// \brief A file of history lines that outlives a stand-in that is killed. Several processes may
/// write to one file. Without a path, nothing is written.
class HistoryFile {
 public:
  explicit HistoryFile(const std::string& path);
  ~HistoryFile();
  HistoryFile(const HistoryFile&) = delete;
  HistoryFile& operator=(const HistoryFile&) = delete;

  /// \brief Writes one whole line in a single call.
  void Append(std::string_view line) const;

 private:
  int m_file = -1;
};

}  // namespace wagtailwind::stand_ins

#endif  // WAGTAILWIND_TESTS_STAND_INS_HISTORY_FILE_H_
