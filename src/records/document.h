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

/// \brief Limit of the key-value service for the size of a value.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

/// \brief Maximum number of change ids that the document stores.
inline constexpr std::size_t kRecentChanges = 256;

/// \brief A versioned record. The body is JSON text, stored byte for byte as it was written.
struct Record {
  std::string kind;
  std::string name;
  std::uint32_t schema = 1;
  /// Configuration version of the record's last change. A record that is deleted and created again
  /// never gets an earlier version again.
  ConfigurationVersion version = 0;
  std::string change_id;
  std::string body;

  friend bool operator==(const Record&, const Record&) = default;
};

/// \brief Id of an accepted change and the configuration version that it produced.
struct RecentChange {
  std::string id;
  ConfigurationVersion version = 0;

  friend bool operator==(const RecentChange&, const RecentChange&) = default;
};

/// \brief Identifies a record.
struct RecordKey {
  std::string kind;
  std::string name;

  friend bool operator<(const RecordKey& left, const RecordKey& right) noexcept {
    return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
  }
  friend bool operator==(const RecordKey&, const RecordKey&) = default;
};

/// \brief The configuration document. Records are sorted by kind and name.
struct Document {
  ConfigurationVersion version = 0;
  std::vector<Record> records;
  std::vector<RecentChange> recent_changes;

  /// \brief Returns the record, or null.
  [[nodiscard]] const Record* Find(const RecordKey& key) const noexcept;

  /// \brief Returns the version that a change produced; 0 if the change is not among the recent
  /// ones.
  [[nodiscard]] ConfigurationVersion VersionOfChange(std::string_view id) const noexcept;

  friend bool operator==(const Document&, const Document&) = default;
};

/// \brief Difference between two consecutive versions of the document.
struct Delta {
  /// Version after the delta is applied.
  ConfigurationVersion version = 0;
  std::string change_id;
  /// Created or updated records.
  std::vector<Record> put;
  std::vector<RecordKey> deleted;
};

/// \brief Parses a document. Throws MalformedDocument.
[[nodiscard]] Document ParseDocument(std::string_view text);

/// \brief Serializes a document. Equal documents have equal texts.
[[nodiscard]] std::string ToText(const Document& document);

/// \brief Parses a delta. Throws MalformedDocument.
[[nodiscard]] Delta ParseDelta(std::string_view text);

/// \brief Serializes a delta.
[[nodiscard]] std::string ToText(const Delta& delta);

/// \brief Returns the document with a delta applied. The delta's version must be the next one.
[[nodiscard]] Document ApplyDelta(const Document& document, const Delta& delta);

/// \brief Computes the delta from a document to the next version of it.
[[nodiscard]] Delta ComputeDelta(const Document& before, const Document& after);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_DOCUMENT_H_
