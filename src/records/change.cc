#include "records/change.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/mutant.h"

namespace wagtailwind::records {

namespace {

constexpr int kMaxAttempts = 16;
constexpr std::chrono::milliseconds kFirstBackoff{20};
constexpr int kMaxDoublings = 5;

ConfigurationVersion VersionOf(const Document& document, const RecordKey& key) {
  const Record* record = document.Find(key);
  return record == nullptr ? 0 : record->version;
}

void CheckVersion(const Document& document, const RecordEdit& edit) {
  const ConfigurationVersion present = VersionOf(document, edit.key);
  if (edit.if_version && *edit.if_version != present) {
    throw VersionConflict(edit.key.kind + " " + edit.key.name + " has version " +
                          std::to_string(present) + ", not " + std::to_string(*edit.if_version));
  }
  if (edit.remove && present == 0) {
    throw RecordNotFound(edit.key.kind + " " + edit.key.name + " does not exist");
  }
}

Delta ToDelta(const Document& document, const Change& change) {
  Delta delta{document.version + 1, change.id, {}, {}};
  std::set<RecordKey> keys;
  for (const RecordEdit& edit : change.edits) {
    if (!keys.insert(edit.key).second) {
      throw DuplicateRecord(edit.key.kind + " " + edit.key.name + " stands twice in the change");
    }
    CheckVersion(document, edit);
    if (edit.remove) {
      delta.deleted.push_back(edit.key);
    } else {
      delta.put.push_back(
          {edit.key.kind, edit.key.name, edit.schema, delta.version, change.id, edit.body});
    }
  }
  return delta;
}

/// \brief One run of ChangeRecords().
class ChangeProcedure {
 public:
  ChangeProcedure(const Change& change, platform::KeyValueService& service)
      : m_change(change), m_service(service) {}

  /// \brief One attempt; empty if another one is needed.
  std::optional<ChangeResult> Attempt() {
    try {
      const std::optional<platform::VersionedValue> value = m_service.Get(kConfigurationKey);
      const platform::Revision revision = value ? value->revision : 0;
      if (revision < m_least_revision) {
        m_reason = kPlatformUnavailableReason;
        m_message = "the platform returned an older document than before";
        return std::nullopt;
      }
      m_least_revision = revision;
      return Proceed(value ? ParseDocument(value->value) : Document{}, revision);
    } catch (const ChangeError& error) {
      m_reason = error.name();
      m_message = error.what();
      return Failure();
    } catch (const platform::KeyValueUnavailable& error) {
      m_reason = kPlatformUnavailableReason;
      m_message = error.what();
    } catch (const platform::KeyValueRateLimited& error) {
      m_reason = kPlatformUnavailableReason;
      m_message = error.what();
    }
    return std::nullopt;
  }

  /// \brief The result when no further attempt is made.
  [[nodiscard]] ChangeResult Failure() const {
    return {m_lost ? ChangeOutcome::kUnknown : ChangeOutcome::kNotAccepted, 0, m_reason, m_message};
  }

 private:
  /// \brief A write whose answer was lost.
  struct LostWrite {
    platform::Revision expected = 0;
    ConfigurationVersion base_version = 0;
  };

  std::optional<ChangeResult> Proceed(const Document& document, platform::Revision revision) {
    if (const ConfigurationVersion version = document.VersionOfChange(m_change.id); version != 0) {
      return ChangeResult{ChangeOutcome::kAccepted, version, "", ""};
    }
    if (m_lost && m_lost->expected != revision) {
      if (!Remembers(document, m_lost->base_version + 1)) {
        m_reason = "change_forgotten";
        m_message = "more than " + std::to_string(kRecentChanges) + " changes were made meanwhile";
        return Failure();
      }
      // The lost write expected an older revision, so it can't take effect any more.
      m_lost.reset();
    }
    const Document next = ApplyChange(document, Pinned(document));
    if (m_change.dry_run) {
      return ChangeResult{ChangeOutcome::kAccepted, next.version, "", ""};
    }
    return Swap(document, next, revision);
  }

  // If the lost write is still under way, this write is the same one again: both expect the same
  // revision, so that at most one of them takes effect.
  std::optional<ChangeResult> Swap(const Document& document, const Document& next,
                                   platform::Revision revision) {
    try {
      const platform::SwapResult result =
          m_service.CompareAndSwap(kConfigurationKey, revision, ToText(next));
      if (result.swapped) {
        return ChangeResult{ChangeOutcome::kAccepted, next.version, "", ""};
      }
      if (IsMutantEnabled("write_without_revision_check") && revision != result.revision) {
        return Swap(document, next, result.revision);
      }
      m_least_revision = std::max(m_least_revision, result.revision);
      m_reason = kTooManyConflictsReason;
      m_message = "other changes were made at each attempt";
    } catch (const platform::KeyValueOutcomeUnknown& error) {
      if (IsMutantEnabled("lost_answer_not_accepted")) {
        return ChangeResult{ChangeOutcome::kNotAccepted, 0, "answer_lost", error.what()};
      }
      m_lost = LostWrite{revision, document.version};
      m_reason = "answer_lost";
      m_message = error.what();
    }
    return std::nullopt;
  }

  // Without a version given by the operator, a record must stay as the first read found it.
  Change Pinned(const Document& document) {
    Change pinned = m_change;
    for (RecordEdit& edit : pinned.edits) {
      if (!edit.if_version) {
        edit.if_version =
            m_first_versions.try_emplace(edit.key, VersionOf(document, edit.key)).first->second;
      }
    }
    return pinned;
  }

  static bool Remembers(const Document& document, ConfigurationVersion version) {
    return !document.recent_changes.empty() && document.recent_changes.front().version <= version;
  }

  const Change& m_change;
  platform::KeyValueService& m_service;
  platform::Revision m_least_revision = 0;
  std::optional<LostWrite> m_lost;
  std::map<RecordKey, ConfigurationVersion> m_first_versions;
  std::string m_reason;
  std::string m_message;
};

}  // namespace

std::string_view ToText(ChangeOutcome outcome) noexcept {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return "accepted";
    case ChangeOutcome::kNotAccepted:
      return "not_accepted";
    default:
      return "unknown";
  }
}

Document ApplyChange(const Document& document, const Change& change) {
  const Delta delta = ToDelta(document, change);
  Document next = Apply(document, delta);
  Validate(document, delta, next, change.replicas);
  return next;
}

ChangeResult ChangeRecords(const Change& change, platform::KeyValueService& service,
                           RandomSource& random, const Pause& pause) {
  ChangeProcedure procedure(change, service);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0) {
      const auto bound = kFirstBackoff * (1 << std::min(attempt - 1, kMaxDoublings));
      pause(std::chrono::milliseconds(random.NextBelow(static_cast<std::uint64_t>(bound.count()))));
    }
    if (const std::optional<ChangeResult> result = procedure.Attempt()) {
      return *result;
    }
  }
  return procedure.Failure();
}

}  // namespace wagtailwind::records
