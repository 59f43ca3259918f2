#include "cli/record_file.h"

#include <yaml-cpp/yaml.h>

#include <nlohmann/json.hpp>

#include "cli/errors.h"
#include "records/record_kinds.h"

namespace wagtailwind::cli {

namespace {

using Json = nlohmann::ordered_json;
using records::RecordEdit;

Json ScalarToJson(const YAML::Node& node) {
  const std::string& text = node.Scalar();
  // yaml-cpp gives a quoted scalar the tag "!"; it stays a string.
  if (node.Tag() == "!") {
    return text;
  }
  const Json value = Json::parse(text, nullptr, false);
  return value.is_number() || value.is_boolean() || value.is_null() ? value : Json(text);
}

Json ToJson(const YAML::Node& node) {
  if (node.IsMap()) {
    Json object = Json::object();
    for (const auto& item : node) {
      if (object.contains(item.first.Scalar())) {
        throw RecordFileError("field " + item.first.Scalar() + " occurs twice");
      }
      object[item.first.Scalar()] = ToJson(item.second);
    }
    return object;
  }
  if (node.IsSequence()) {
    Json list = Json::array();
    for (const YAML::Node& entry : node) {
      list.push_back(ToJson(entry));
    }
    return list;
  }
  return node.IsScalar() ? ScalarToJson(node) : Json();
}

RecordEdit ParseEdit(const Json& record) {
  if (!record.is_object()) {
    throw RecordFileError("a record is not a mapping");
  }
  for (const auto& [field, value] : record.items()) {
    if (field != "kind" && field != "name" && field != "schema" && field != "if_version" &&
        field != "body") {
      throw RecordFileError("unknown field " + field + " of a record");
    }
  }
  try {
    RecordEdit edit;
    edit.key = {record.at("kind").get<std::string>(), record.at("name").get<std::string>()};
    const records::RecordKind* kind = records::FindRecordKind(edit.key.kind);
    edit.schema = record.value("schema", kind == nullptr ? 1U : kind->newest_schema);
    if (record.contains("if_version")) {
      edit.if_version = record["if_version"].get<records::ConfigurationVersion>();
    }
    edit.body = record.at("body").dump();
    return edit;
  } catch (const Json::exception& error) {
    throw RecordFileError(error.what());
  }
}

void AppendEdits(std::vector<RecordEdit>& edits, const Json& document) {
  if (document.is_array()) {
    for (const Json& record : document) {
      edits.push_back(ParseEdit(record));
    }
  } else if (!document.is_null()) {
    edits.push_back(ParseEdit(document));
  }
}

}  // namespace

std::vector<RecordEdit> ParseRecordFile(const std::string& text) {
  std::vector<RecordEdit> edits;
  if (const Json json = Json::parse(text, nullptr, false); !json.is_discarded()) {
    AppendEdits(edits, json);
  } else {
    try {
      for (const YAML::Node& document : YAML::LoadAll(text)) {
        AppendEdits(edits, ToJson(document));
      }
    } catch (const YAML::Exception& error) {
      throw RecordFileError(error.what());
    }
  }
  if (edits.empty()) {
    throw RecordFileError("the file has no records");
  }
  return edits;
}

std::string EditBody(const std::string& body, const std::vector<std::string>& set,
                     const std::vector<std::string>& unset) {
  Json object = Json::parse(body, nullptr, false);
  if (!object.is_object()) {
    throw UsageError("the record's body is not an object");
  }
  for (const std::string& assignment : set) {
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0) {
      throw UsageError("'" + assignment + "' is not field=value");
    }
    const std::string text = assignment.substr(equals + 1);
    const Json value = Json::parse(text, nullptr, false);
    object[assignment.substr(0, equals)] = value.is_discarded() ? Json(text) : value;
  }
  for (const std::string& field : unset) {
    if (object.erase(field) == 0) {
      throw UsageError("the record has no field " + field);
    }
  }
  return object.dump();
}

}  // namespace wagtailwind::cli
