#ifndef WAGTAILWIND_CLI_RECORD_FILE_H_
#define WAGTAILWIND_CLI_RECORD_FILE_H_

#include <string>
#include <vector>

#include "records/change.h"

namespace wagtailwind::cli {

/// \brief Parses a record file into edits that put its records. The file is JSON, or YAML with one
/// or several documents; each document is a record or a list of records. Throws RecordFileError.
[[nodiscard]] std::vector<records::RecordEdit> ParseRecordFile(const std::string& text);

/// \brief Returns the body with fields set (`field=value`) and removed. Throws UsageError.
[[nodiscard]] std::string EditBody(const std::string& body, const std::vector<std::string>& set,
                                   const std::vector<std::string>& unset);

}  // namespace wagtailwind::cli

#endif  // WAGTAILWIND_CLI_RECORD_FILE_H_
