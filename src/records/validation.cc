#include "records/validation.h"

#include <algorithm>
#include <string>
#include <vector>

#include "records/record_kinds.h"

namespace wagtailwind::records {

namespace {

// A record of a newer schema is never rewritten: this version can't tell which of its fields a
// change would lose.
void CheckNotNewer(const Document& before, const RecordKey& key) {
  const Record* record = before.Find(key);
  if (record != nullptr && !IsUnderstood(*record)) {
    throw UnknownSchema(key.kind + " " + key.name + " has schema version " +
                        std::to_string(record->schema) + ", which this version does not know");
  }
}

void CheckChanges(const Document& before, const Delta& delta) {
  for (const Record& record : delta.put) {
    Configuration parsed;
    AddRecord(parsed, record);
    CheckNotNewer(before, {record.kind, record.name});
  }
  for (const RecordKey& key : delta.deleted) {
    CheckNotNewer(before, key);
  }
}

// Looks in the document and not in the parsed configuration, where records of newer schema
// versions are left out.
template <typename ErrorType>
void Require(const Document& document, const std::string& referrer, const char* kind,
             const std::string& name) {
  if (document.Find({kind, name}) == nullptr) {
    throw ErrorType(referrer + " refers to " + kind + " " + name + ", which does not exist");
  }
}

void CheckReferences(const Document& document, const Configuration& configuration) {
  for (const Organisation& organisation : configuration.organisations) {
    const std::string referrer = "organisation " + organisation.name.value();
    Require<MissingPriorityClass>(document, referrer, "priority_class",
                                  organisation.default_class.value());
    for (const ModelName& model : organisation.allowed_models) {
      Require<MissingModel>(document, referrer, "model", model.value());
    }
    for (const std::string& adapter : organisation.allowed_adapters) {
      Require<MissingAdapter>(document, referrer, "adapter", adapter);
    }
  }
  for (const Adapter& adapter : configuration.adapters) {
    Require<MissingModel>(document, "adapter " + adapter.name, "model", adapter.model.value());
  }
}

std::vector<ModelReplica> ReplicasOf(const Model& model, std::span<const KnownReplica> known) {
  std::vector<ModelReplica> replicas = model.replicas;
  for (const KnownReplica& replica : known) {
    if (replica.pool == model.pool) {
      replicas.push_back({replica.endpoint, replica.zone});
    }
  }
  return replicas;
}

// All plans count, whatever their start: a plan that begins later would leave the model without
// an engine then.
void CheckEnginesRemain(const Configuration& configuration, std::span<const KnownReplica> known) {
  for (const Model& model : configuration.models) {
    const std::vector<ModelReplica> replicas = ReplicasOf(model, known);
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
  CheckChanges(before, delta);
  const auto configuration = ParseConfiguration(after);
  CheckReferences(after, *configuration);
  CheckEnginesRemain(*configuration, replicas);
  if (const std::size_t size = ToText(after).size(); size > kMaxDocumentBytes) {
    throw DocumentTooLarge("the document would have " + std::to_string(size) +
                           " bytes of at most " + std::to_string(kMaxDocumentBytes));
  }
}

}  // namespace wagtailwind::records
