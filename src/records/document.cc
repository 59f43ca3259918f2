#include "records/document.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace wagtailwind::records {

namespace {

using Json = nlohmann::json;

// Incremented when the document's envelope changes in a way that older versions can't read.
constexpr int kFormatVersion = 1;

bool KeyLess(const Record& record, const RecordKey& key) noexcept {
  return std::tie(record.kind, record.name) < std::tie(key.kind, key.name);
}

bool HasKey(const Record& record, const RecordKey& key) noexcept {
  return record.kind == key.kind && record.name == key.name;
}

// Stores the body as a JSON string and not as an object: parsing and serializing an object would
// change the order of members and the format of numbers in records that this version can't read.
Json ToJson(const Record& record) {
  return {{"kind", record.kind},       {"name", record.name},        {"schema", record.schema},
          {"version", record.version}, {"change", record.change_id}, {"body", record.body}};
}

// Checks the type because nlohmann::json converts negative and fractional numbers to unsigned
// without an error.
std::uint64_t ReadUnsigned(const Json& json, const char* field) {
  const Json& value = json.at(field);
  if (!value.is_number_unsigned()) {
    throw MalformedDocument(std::string(field) + " is not an unsigned integer");
  }
  return value.get<std::uint64_t>();
}

std::uint32_t ReadSchema(const Json& json) {
  const std::uint64_t schema = ReadUnsigned(json, "schema");
  if (schema > std::numeric_limits<std::uint32_t>::max()) {
    throw MalformedDocument("schema is too large");
  }
  return static_cast<std::uint32_t>(schema);
}

Record RecordFromJson(const Json& json) {
  return {json.at("kind").get<std::string>(),
          json.at("name").get<std::string>(),
          ReadSchema(json),
          ReadUnsigned(json, "version"),
          json.at("change").get<std::string>(),
          json.at("body").get<std::string>()};
}

Json RecordsToJson(const std::vector<Record>& records) {
  Json list = Json::array();
  for (const Record& record : records) {
    list.push_back(ToJson(record));
  }
  return list;
}

std::vector<Record> RecordsFromJson(const Json& json) {
  std::vector<Record> records;
  for (const Json& entry : json) {
    records.push_back(RecordFromJson(entry));
  }
  return records;
}

template <typename Read>
auto ParseOrThrow(std::string_view text, const Read& read) {
  try {
    return read(Json::parse(text));
  } catch (const Json::exception& error) {
    throw MalformedDocument(error.what());
  }
}

Document DocumentFromJson(const Json& json) {
  if (json.at("format").get<int>() != kFormatVersion) {
    throw MalformedDocument("unknown document format");
  }
  Document document;
  document.version = ReadUnsigned(json, "version");
  document.records = RecordsFromJson(json.at("records"));
  for (const Json& change : json.at("recent_changes")) {
    document.recent_changes.push_back(
        {change.at("id").get<std::string>(), ReadUnsigned(change, "version")});
  }
  const auto key_of = [](const Record& record) { return std::tie(record.kind, record.name); };
  std::ranges::sort(document.records, {}, key_of);
  if (std::ranges::adjacent_find(document.records, {}, key_of) != document.records.end()) {
    throw MalformedDocument("the document has a duplicate record");
  }
  return document;
}

void InsertOrReplace(std::vector<Record>& records, const Record& record) {
  const RecordKey key{record.kind, record.name};
  const auto position = std::lower_bound(records.begin(), records.end(), key, KeyLess);
  if (position != records.end() && HasKey(*position, key)) {
    *position = record;
  } else {
    records.insert(position, record);
  }
}

}  // namespace

const Record* Document::Find(const RecordKey& key) const noexcept {
  const auto position = std::lower_bound(records.begin(), records.end(), key, KeyLess);
  return position != records.end() && HasKey(*position, key) ? &*position : nullptr;
}

ConfigurationVersion Document::VersionOfChange(std::string_view id) const noexcept {
  const auto found = std::ranges::find(recent_changes, id, &RecentChange::id);
  return found == recent_changes.end() ? 0 : found->version;
}

Document ParseDocument(std::string_view text) { return ParseOrThrow(text, DocumentFromJson); }

std::string ToText(const Document& document) {
  Json changes = Json::array();
  for (const RecentChange& change : document.recent_changes) {
    changes.push_back({{"id", change.id}, {"version", change.version}});
  }
  return Json{{"format", kFormatVersion},
              {"version", document.version},
              {"records", RecordsToJson(document.records)},
              {"recent_changes", std::move(changes)}}
      .dump();
}

Delta ParseDelta(std::string_view text) {
  return ParseOrThrow(text, [](const Json& json) {
    Delta delta{ReadUnsigned(json, "version"),
                json.at("change").get<std::string>(),
                RecordsFromJson(json.at("put")),
                {}};
    for (const Json& key : json.at("deleted")) {
      delta.deleted.push_back(
          {key.at("kind").get<std::string>(), key.at("name").get<std::string>()});
    }
    return delta;
  });
}

std::string ToText(const Delta& delta) {
  Json deleted = Json::array();
  for (const RecordKey& key : delta.deleted) {
    deleted.push_back({{"kind", key.kind}, {"name", key.name}});
  }
  return Json{{"version", delta.version},
              {"change", delta.change_id},
              {"put", RecordsToJson(delta.put)},
              {"deleted", std::move(deleted)}}
      .dump();
}

Document ApplyDelta(const Document& document, const Delta& delta) {
  Document next = document;
  next.version = delta.version;
  for (const RecordKey& key : delta.deleted) {
    std::erase_if(next.records, [&](const Record& record) { return HasKey(record, key); });
  }
  for (const Record& record : delta.put) {
    InsertOrReplace(next.records, record);
  }
  next.recent_changes.push_back({delta.change_id, delta.version});
  if (next.recent_changes.size() > kRecentChanges) {
    next.recent_changes.erase(next.recent_changes.begin());
  }
  return next;
}

Delta ComputeDelta(const Document& before, const Document& after) {
  Delta delta;
  delta.version = after.version;
  if (!after.recent_changes.empty()) {
    delta.change_id = after.recent_changes.back().id;
  }
  for (const Record& record : after.records) {
    const Record* old = before.Find({record.kind, record.name});
    if (old == nullptr || !(*old == record)) {
      delta.put.push_back(record);
    }
  }
  for (const Record& record : before.records) {
    if (after.Find({record.kind, record.name}) == nullptr) {
      delta.deleted.push_back({record.kind, record.name});
    }
  }
  return delta;
}

}  // namespace wagtailwind::records
