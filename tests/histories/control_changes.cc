#include "histories/control_changes.h"

#include <nlohmann/json.hpp>
#include <set>

namespace wagtailwind::histories {

namespace {

using Json = nlohmann::json;
using records::ChangeOutcome;
using records::ConfigurationVersion;
using records::RecordKey;

std::string Name(const RecordKey& key) { return key.kind + " " + key.name; }

/// \brief Expected content of a record and the change that wrote it last.
struct ExpectedRecord {
  std::string change_id;
  Json body;
};

class ChangeCheck {
 public:
  ChangeCheck(const std::vector<ChangeReport>& changes, const records::Document& before,
              const records::Document& after)
      : m_changes(changes), m_before(before), m_after(after) {
    for (const ChangeReport& change : changes) {
      if (!change.change_id.empty()) {
        m_by_id[change.change_id] = &change;
      }
    }
    for (const records::Record& record : before.records) {
      m_expected[{record.kind, record.name}] = {record.change_id, Parse(record.body)};
    }
  }

  Findings Run() {
    CheckOrder();
    CheckReports();
    CheckKilled();
    CheckRecords();
    return std::move(m_findings);
  }

 private:
  static Json Parse(const std::string& text) { return Json::parse(text, nullptr, false); }

  void Add(std::string violation) { m_findings.violations.push_back(std::move(violation)); }

  // Checks that the versions are consecutive, and replays the changes of the document in that
  // order.
  void CheckOrder() {
    ConfigurationVersion last = m_before.version;
    for (const records::RecentChange& made : m_after.recent_changes) {
      if (made.version <= m_before.version) {
        continue;
      }
      if (made.version != last + 1) {
        Add("versions are not consecutive: " + std::to_string(made.version) + " follows " +
            std::to_string(last));
      }
      last = made.version;
      const auto found = m_by_id.find(made.id);
      if (found == m_by_id.end()) {
        ++m_unattributed;
      } else {
        Replay(*found->second);
      }
    }
    if (last != m_after.version) {
      Add("the document has version " + std::to_string(m_after.version) +
          ", its last change has version " + std::to_string(last));
    }
  }

  void Replay(const ChangeReport& change) {
    if (change.action == ChangeReport::Action::kDelete) {
      m_expected.erase(change.key);
      return;
    }
    ExpectedRecord& record = m_expected[change.key];
    record.change_id = change.change_id;
    if (change.action == ChangeReport::Action::kPut) {
      record.body = Json::object();
    }
    for (const auto& [field, value] : change.fields) {
      record.body[field] = Parse(value);
    }
  }

  void CheckReports() {
    for (const ChangeReport& change : m_changes) {
      const ConfigurationVersion made =
          change.change_id.empty() ? 0 : m_after.VersionOfChange(change.change_id);
      const std::string what = change.actor + ", " + Name(change.key) + ", " + change.change_id;
      if (change.outcome == ChangeOutcome::kAccepted && made == 0) {
        Add("accepted change is lost: " + what);
      } else if (change.outcome == ChangeOutcome::kAccepted && made != change.version) {
        Add("accepted change has another version: " + what);
      } else if (change.outcome == ChangeOutcome::kNotAccepted && made != 0) {
        Add("change reported as not accepted is made: " + what);
      }
    }
  }

  // Checks that a killed tool made its whole change or none, and that these changes account for all
  // changes without a report.
  void CheckKilled() {
    std::size_t made = 0;
    for (const ChangeReport& change : m_changes) {
      if (!change.killed) {
        continue;
      }
      m_touched_by_killed.insert(change.key);
      const records::Record* record = m_after.Find(change.key);
      if (record == nullptr) {
        continue;
      }
      ++made;
      Json body = Json::object();
      for (const auto& [field, value] : change.fields) {
        body[field] = Parse(value);
      }
      if (Parse(record->body) != body) {
        Add("partial change of a killed tool: " + Name(change.key));
      }
    }
    if (made != m_unattributed) {
      Add(std::to_string(m_unattributed) + " changes in the document have no report, and " +
          std::to_string(made) + " changes of killed tools are made");
    }
  }

  void CheckRecords() {
    for (const auto& [key, expected] : m_expected) {
      const records::Record* record = m_after.Find(key);
      if (record == nullptr) {
        Add("record is lost: " + Name(key));
      } else if (record->change_id != expected.change_id || Parse(record->body) != expected.body) {
        Add("record lost a change: " + Name(key) + " is " + record->body + ", not " +
            expected.body.dump());
      }
    }
    for (const records::Record& record : m_after.records) {
      const RecordKey key{record.kind, record.name};
      if (!m_expected.contains(key) && !m_touched_by_killed.contains(key)) {
        Add("deleted record exists again: " + Name(key));
      }
    }
  }

  const std::vector<ChangeReport>& m_changes;
  const records::Document& m_before;
  const records::Document& m_after;
  std::map<std::string, const ChangeReport*> m_by_id;
  std::map<RecordKey, ExpectedRecord> m_expected;
  std::set<RecordKey> m_touched_by_killed;
  std::size_t m_unattributed = 0;
  Findings m_findings;
};

}  // namespace

Findings CheckChanges(const std::vector<ChangeReport>& changes, const records::Document& before,
                      const records::Document& after) {
  return ChangeCheck(changes, before, after).Run();
}

}  // namespace wagtailwind::histories
