#include "records/validation.h"

#include <algorithm>
#include <string>
#include <vector>

#include "records/record_kinds.h"

namespace wagtailwind::records {

namespace {

// Rejects changes to a record of an unsupported kind or schema version, because this build can't
// tell which of its fields a rewrite would drop.
void CheckSchemaSupported(const Document& before, const RecordKey& key) {
  const Record* record = before.Find(key);
  if (record != nullptr && !IsUnderstood(*record)) {
    throw UnknownSchema(key.kind + " " + key.name + " has schema version " +
                        std::to_string(record->schema) + ", which this version does not support");
  }
}

void CheckChangedRecords(const Document& before, const Delta& delta) {
  for (const Record& record : delta.put) {
    Configuration parsed;
    AddRecord(parsed, record);
    CheckSchemaSupported(before, {record.kind, record.name});
  }
  for (const RecordKey& key : delta.deleted) {
    CheckSchemaSupported(before, key);
  }
}

// Throws ErrorType if the record does not exist. Searches the document and not the parsed
// configuration, because the parser skips records of newer schema versions.
template <typename ErrorType>
void RequireRecord(const Document& document, const std::string& referrer, const char* kind,
                   const std::string& name) {
  if (document.Find({kind, name}) == nullptr) {
    throw ErrorType(referrer + " refers to " + kind + " " + name + ", which does not exist");
  }
}

void CheckReferences(const Document& document, const Configuration& configuration) {
  for (const Organisation& organisation : configuration.organisations) {
    const std::string referrer = "organisation " + organisation.name.value();
    RequireRecord<MissingPriorityClass>(document, referrer, "priority_class",
                                        organisation.default_class.value());
    for (const ModelName& model : organisation.allowed_models) {
      RequireRecord<MissingModel>(document, referrer, "model", model.value());
    }
    for (const std::string& adapter : organisation.allowed_adapters) {
      RequireRecord<MissingAdapter>(document, referrer, "adapter", adapter);
    }
  }
  for (const Adapter& adapter : configuration.adapters) {
    RequireRecord<MissingModel>(document, "adapter " + adapter.name, "model",
                                adapter.model.value());
  }
}

std::vector<ModelReplica> AllReplicas(const Model& model, std::span<const KnownReplica> known) {
  std::vector<ModelReplica> replicas = model.replicas;
  for (const KnownReplica& replica : known) {
    if (replica.pool == model.pool) {
      replicas.push_back({replica.endpoint, replica.zone});
    }
  }
  return replicas;
}

// Rejects drain plans that together cover all known engines of a model. Includes plans that start
// in the future, which would leave the model without an engine once they start.
void CheckEnginesRemain(const Configuration& configuration, std::span<const KnownReplica> known) {
  for (const Model& model : configuration.models) {
    const std::vector<ModelReplica> replicas = AllReplicas(model, known);
    const bool all_drained = std::ranges::all_of(replicas, [&](const ModelReplica& replica) {
      return configuration.IsDraining(replica.endpoint, replica.zone, WallTime::max());
    });
    if (!replicas.empty() && all_drained) {
      throw ModelWithoutEngine("drain plans cover all " + std::to_string(replicas.size()) +
                               " known engines of model " + model.name.value());
    }
  }
}

}  // namespace

void Validate(const Document& before, const Delta& delta, const Document& after,
              std::span<const KnownReplica> replicas) {
  CheckChangedRecords(before, delta);
  const auto configuration = ParseConfiguration(after);
  CheckReferences(after, *configuration);
  CheckEnginesRemain(*configuration, replicas);
  if (const std::size_t size = ToText(after).size(); size > kMaxDocumentBytes) {
    throw DocumentTooLarge("the document would have " + std::to_string(size) +
                           " bytes; the limit is " + std::to_string(kMaxDocumentBytes));
  }
}

}  // namespace wagtailwind::records
