#ifndef WAGTAILWIND_RECORDS_DOCUMENT_H_
#define WAGTAILWIND_RECORDS_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "records/configuration_view.h"
#include "records/errors.h"

namespace wagtailwind::records {

/// \brief Key of the configuration document in the key-value service.
inline constexpr std::string_view kConfigurationKey = "config";

/// \brief The platform's limit for one value.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

/// \brief Number of changes whose ids the document remembers.
inline constexpr std::size_t kRecentChanges = 256;

/// \brief One versioned record. The body is JSON text, kept as it was written.
struct Record {
  std::string kind;
  std::string name;
  std::uint32_t schema = 1;
  /// Configuration version of the record's last change, so that no version occurs twice, even
  /// after a delete.
  ConfigurationVersion version = 0;
  std::string change_id;
  std::string body;

  friend bool operator==(const Record&, const Record&) = default;
};

/// \brief An accepted change.
struct RecentChange {
  std::string id;
  ConfigurationVersion version = 0;

  friend bool operator==(const RecentChange&, const RecentChange&) = default;
};

/// \brief Names a record.
struct RecordKey {
  std::string kind;
  std::string name;

  friend bool operator<(const RecordKey& left, const RecordKey& right) noexcept {
    return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
  }
  friend bool operator==(const RecordKey&, const RecordKey&) = default;
};

/// \brief The configuration document. Records are ordered by kind and name.
struct Document {
  ConfigurationVersion version = 0;
  std::vector<Record> records;
  std::vector<RecentChange> recent_changes;

  /// \brief The record, or null.
  [[nodiscard]] const Record* Find(const RecordKey& key) const noexcept;

  /// \brief The version that a change made; 0 if the change is not among the recent ones.
  [[nodiscard]] ConfigurationVersion VersionOfChange(std::string_view id) const noexcept;

  friend bool operator==(const Document&, const Document&) = default;
};

/// \brief What leads from one version to the next.
struct Delta {
  /// Version that results.
  ConfigurationVersion version = 0;
  std::string change_id;
  /// New or changed records.
  std::vector<Record> put;
  std::vector<RecordKey> deleted;
};

/// \brief Parses a document; throws MalformedDocument.
[[nodiscard]] Document ParseDocument(std::string_view text);

/// \brief The text of a document; the same for equal documents.
[[nodiscard]] std::string ToText(const Document& document);

/// \brief Parses a delta; throws MalformedDocument.
[[nodiscard]] Delta ParseDelta(std::string_view text);

/// \brief The text of a delta.
[[nodiscard]] std::string ToText(const Delta& delta);

/// \brief The document that a delta leads to. The delta's version must be the next one.
[[nodiscard]] Document Apply(const Document& document, const Delta& delta);

/// \brief What leads from a document to the one that follows it.
[[nodiscard]] Delta Difference(const Document& before, const Document& after);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_DOCUMENT_H_
