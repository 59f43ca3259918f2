#include "records/record_kinds.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>

#include "records/body_reader.h"
#include "records/log_events.h"

namespace wagtailwind::records {

namespace {

using detail::BodyReader;

constexpr double kMaxWeight = 1'000;
constexpr double kMinShare = 0.01;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::size_t kMaxNameBytes = 128;

constexpr std::array<RecordKind, 6> kKinds{{{"adapter", 1},
                                            {"drain_plan", 1},
                                            {"model", 1},
                                            {"organisation", 2},
                                            {"priority_class", 1},
                                            {"service", 1}}};

template <typename Id>
std::vector<Id> ToIds(const std::vector<std::string>& texts) {
  std::vector<Id> ids;
  ids.reserve(texts.size());
  for (const std::string& text : texts) {
    ids.emplace_back(text);
  }
  return ids;
}

void AddOrganisation(Configuration& configuration, const Record& record) {
  // Schema 2 added the lists of allowed models and adapters. Records of schema 1 remain valid.
  const BodyReader body =
      record.schema == 1
          ? BodyReader(record.name, record.body, {"weight", "default_class"})
          : BodyReader(record.name, record.body,
                       {"weight", "default_class", "allowed_models", "allowed_adapters"});
  Organisation organisation;
  organisation.name = OrganisationName(record.name);
  organisation.weight = body.Number("weight", 1 / kMaxWeight, kMaxWeight);
  organisation.default_class = PriorityClassName(body.Text("default_class"));
  organisation.allowed_models = ToIds<ModelName>(body.Texts("allowed_models"));
  organisation.allowed_adapters = body.Texts("allowed_adapters");
  configuration.organisations.push_back(std::move(organisation));
}

void AddPriorityClass(Configuration& configuration, const Record& record) {
  const BodyReader body(record.name, record.body, {"rank", "share", "default_deadline_ms"});
  PriorityClass priority_class;
  priority_class.name = PriorityClassName(record.name);
  priority_class.rank = static_cast<std::uint32_t>(
      body.Integer("rank", 0, std::numeric_limits<std::uint32_t>::max()));
  priority_class.share = body.Number("share", kMinShare, 1.0);
  if (body.Has("default_deadline_ms")) {
    priority_class.default_deadline =
        std::chrono::milliseconds(body.Integer("default_deadline_ms", 1, kMaxDeadlineMs));
  }
  configuration.priority_classes.push_back(std::move(priority_class));
}

void AddModel(Configuration& configuration, const Record& record) {
  const BodyReader body(record.name, record.body, {"pool", "versions", "replicas"});
  Model model{ModelName(record.name), ServiceName(body.Text("pool")), body.Texts("versions"), {}};
  if (model.versions.empty()) {
    body.ThrowMalformed("versions", "is missing or empty");
  }
  for (const BodyReader& replica : body.Objects("replicas", {"endpoint", "zone"})) {
    model.replicas.push_back(
        {EndpointName(replica.Text("endpoint")), AvailabilityZoneName(replica.Text("zone"))});
  }
  configuration.models.push_back(std::move(model));
}

void AddAdapter(Configuration& configuration, const Record& record) {
  const BodyReader body(record.name, record.body, {"model", "versions"});
  Adapter adapter{record.name, ModelName(body.Text("model")), body.Texts("versions")};
  if (adapter.versions.empty()) {
    body.ThrowMalformed("versions", "is missing or empty");
  }
  configuration.adapters.push_back(std::move(adapter));
}

void AddService(Configuration& configuration, const Record& record) {
  const BodyReader body(record.name, record.body, {"repeatable"});
  Service service{ServiceName(record.name), {}};
  for (const BodyReader& call : body.Objects("repeatable", {"method", "path_prefix"})) {
    RepeatableCall repeatable{call.Text("method"), call.Text("path_prefix")};
    if (!std::ranges::all_of(repeatable.method, [](char c) { return c >= 'A' && c <= 'Z'; })) {
      call.ThrowMalformed("method", "is not in upper case");
    }
    if (!repeatable.path_prefix.starts_with('/')) {
      call.ThrowMalformed("path_prefix", "does not begin with a slash");
    }
    service.repeatable.push_back(std::move(repeatable));
  }
  configuration.services.push_back(std::move(service));
}

void AddDrainPlan(Configuration& configuration, const Record& record) {
  const BodyReader body(record.name, record.body, {"endpoints", "zone", "start"});
  DrainPlan plan{record.name, ToIds<EndpointName>(body.Texts("endpoints")),
                 AvailabilityZoneName(body.OptionalText("zone")), body.Time("start")};
  if (plan.endpoints.empty() && plan.zone.empty()) {
    body.ThrowMalformed("endpoints", "is missing or empty, and no zone is given");
  }
  configuration.drain_plans.push_back(std::move(plan));
}

// Parsers of the record kinds, in the order of kKinds.
constexpr std::array<void (*)(Configuration&, const Record&), kKinds.size()> kParsers{
    &AddAdapter, &AddDrainPlan, &AddModel, &AddOrganisation, &AddPriorityClass, &AddService};

void CheckRecordName(const Record& record) {
  const bool has_allowed_characters = std::ranges::all_of(record.name, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
  if (record.name.empty() || record.name.size() > kMaxNameBytes || !has_allowed_characters) {
    throw InvalidName("'" + record.name + "' is not a valid record name");
  }
}

}  // namespace

std::span<const RecordKind> RecordKinds() noexcept { return kKinds; }

const RecordKind* FindRecordKind(std::string_view name) noexcept {
  const auto* const found = std::ranges::find(kKinds, name, &RecordKind::name);
  return found == kKinds.end() ? nullptr : found;
}

bool IsUnderstood(const Record& record) noexcept {
  const RecordKind* kind = FindRecordKind(record.kind);
  return kind != nullptr && record.schema >= 1 && record.schema <= kind->newest_schema;
}

void AddRecord(Configuration& configuration, const Record& record) {
  if (FindRecordKind(record.kind) == nullptr) {
    throw UnknownKind("'" + record.kind + "' is not a kind of record");
  }
  if (!IsUnderstood(record)) {
    throw UnknownSchema(record.kind + " " + record.name + ": schema version " +
                        std::to_string(record.schema) + " is not supported");
  }
  CheckRecordName(record);
  const auto index = static_cast<std::size_t>(FindRecordKind(record.kind) - kKinds.data());
  kParsers[index](configuration, record);
}

std::shared_ptr<const Configuration> ParseConfiguration(const Document& document) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = document.version;
  for (const Record& record : document.records) {
    try {
      AddRecord(*configuration, record);
    } catch (const ChangeError& error) {
      Log(kRecordNotUnderstood, {{"kind", record.kind},
                                 {"name", record.name},
                                 {"schema", record.schema},
                                 {"error", error.what()}});
    }
  }
  return configuration;
}

}  // namespace wagtailwind::records
