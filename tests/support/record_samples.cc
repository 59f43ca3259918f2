#include "support/record_samples.h"

#include <atomic>
#include <stdexcept>
#include <utility>

namespace wagtailwind::testing {

using records::ChangeResult;
using records::RecordEdit;

RecordEdit PutOf(const std::string& kind, const std::string& name, const std::string& body,
                 std::uint32_t schema) {
  return {{kind, name}, false, schema, body, std::nullopt};
}

RecordEdit RemovalOf(const std::string& kind, const std::string& name) {
  return {{kind, name}, true, 1, "", std::nullopt};
}

ChangeResult Make(platform::KeyValueService& service, std::vector<RecordEdit> edits) {
  static std::atomic<int> last_id = 0;
  SeededRandomSource random(1);
  const records::Change change{"change-" + std::to_string(++last_id), std::move(edits), {}, false};
  return ChangeRecords(change, service, random, [](std::chrono::milliseconds) {});
}

records::Document Stored(platform::KeyValueService& service) {
  const auto value = service.Get(records::kConfigurationKey);
  return value ? records::ParseDocument(value->value) : records::Document{};
}

void StoreBasics(platform::KeyValueService& service) {
  const ChangeResult result = Make(
      service, {PutOf("priority_class", "normal", R"({"rank":1,"share":0.9})"),
                PutOf("model", "m",
                      R"({"pool":"p","versions":["1"],"replicas":[{"endpoint":"e1","zone":"z1"},
             {"endpoint":"e2","zone":"z2"}]})")});
  if (result.outcome != records::ChangeOutcome::kAccepted) {
    throw std::logic_error(result.message);
  }
}

}  // namespace wagtailwind::testing
