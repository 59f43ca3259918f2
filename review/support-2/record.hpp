#ifndef WAGTAILWIND_REVIEW_RECORD_HPP_
#define WAGTAILWIND_REVIEW_RECORD_HPP_

#include <string>

namespace review {

/// \brief Opens the file to which Record() writes.
void OpenRecord(const std::string& path);

/// \brief Writes a line with the time in seconds since the start. Thread-safe.
void Record(const std::string& line);

}  // namespace review

#endif  // WAGTAILWIND_REVIEW_RECORD_HPP_
