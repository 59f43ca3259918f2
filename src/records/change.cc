#include "records/change.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/mutant.h"

namespace wagtailwind::records {

namespace {

constexpr int kMaxAttempts = 16;
constexpr std::chrono::milliseconds kFirstBackoff{20};
constexpr int kMaxDoublings = 5;  // Caps the backoff at 640 ms.

ConfigurationVersion RecordVersion(const Document& document, const RecordKey& key) {
  const Record* record = document.Find(key);
  return record == nullptr ? 0 : record->version;
}

void CheckPreconditions(const Document& document, const RecordEdit& edit) {
  const ConfigurationVersion current = RecordVersion(document, edit.key);
  if (edit.if_version && *edit.if_version != current) {
    throw VersionConflict(edit.key.kind + " " + edit.key.name + " has version " +
                          std::to_string(current) + ", not " + std::to_string(*edit.if_version));
  }
  if (edit.remove && current == 0) {
    throw RecordNotFound(edit.key.kind + " " + edit.key.name + " does not exist");
  }
}

Delta BuildDelta(const Document& document, const Change& change) {
  Delta delta{document.version + 1, change.id, {}, {}};
  std::set<RecordKey> keys;
  for (const RecordEdit& edit : change.edits) {
    if (!keys.insert(edit.key).second) {
      throw DuplicateRecord(edit.key.kind + " " + edit.key.name +
                            " occurs more than once in the change");
    }
    CheckPreconditions(document, edit);
    if (edit.remove) {
      delta.deleted.push_back(edit.key);
    } else {
      delta.put.push_back(
          {edit.key.kind, edit.key.name, edit.schema, delta.version, change.id, edit.body});
    }
  }
  return delta;
}

/// \brief State of one call of ChangeRecords() across its attempts.
class ChangeTransaction {
 public:
  ChangeTransaction(const Change& change, platform::KeyValueService& service)
      : m_change(change), m_service(service) {}

  /// \brief Makes one attempt. Returns nothing if the change has to be retried.
  std::optional<ChangeResult> Attempt() {
    try {
      const std::optional<platform::VersionedValue> value = m_service.Get(kConfigurationKey);
      const platform::Revision revision = value ? value->revision : 0;
      if (revision < m_min_revision) {
        m_reason = kPlatformUnavailableReason;
        m_message = "the platform returned a document older than one it returned before";
        return std::nullopt;
      }
      m_min_revision = revision;
      return ApplyAndWrite(value ? ParseDocument(value->value) : Document{}, revision);
    } catch (const ChangeError& error) {
      m_reason = error.name();
      m_message = error.what();
      return FailureResult();
    } catch (const platform::KeyValueUnavailable& error) {
      m_reason = kPlatformUnavailableReason;
      m_message = error.what();
    } catch (const platform::KeyValueRateLimited& error) {
      m_reason = kPlatformUnavailableReason;
      m_message = error.what();
    }
    return std::nullopt;
  }

  /// \brief Returns the result for a change that is not retried any more: kUnknown if a write whose
  /// response was lost may still be applied, otherwise kNotAccepted.
  [[nodiscard]] ChangeResult FailureResult() const {
    return {m_lost_write ? ChangeOutcome::kUnknown : ChangeOutcome::kNotAccepted, 0, m_reason,
            m_message};
  }

 private:
  /// \brief A write whose response was lost.
  struct LostWrite {
    /// Revision that the compare-and-swap expected.
    platform::Revision expected = 0;
    /// Configuration version of the document that the change was applied to.
    ConfigurationVersion base_version = 0;
  };

  // Returns the result if an earlier write was applied; otherwise applies the change and writes it.
  std::optional<ChangeResult> ApplyAndWrite(const Document& document, platform::Revision revision) {
    if (const ConfigurationVersion version = document.VersionOfChange(m_change.id); version != 0) {
      return ChangeResult{ChangeOutcome::kAccepted, version, "", ""};
    }
    if (m_lost_write && m_lost_write->expected != revision) {
      if (!RecentChangesReach(document, m_lost_write->base_version + 1)) {
        m_reason = "change_forgotten";
        m_message = "more than " + std::to_string(kRecentChanges) +
                    " other changes were made in the meantime";
        return FailureResult();
      }
      // The lost write expects a revision that has been replaced, so it can't be applied any more.
      m_lost_write.reset();
    }
    const Document next = ApplyChange(document, WithExpectedVersions(document));
    if (m_change.dry_run) {
      return ChangeResult{ChangeOutcome::kAccepted, next.version, "", ""};
    }
    return WriteDocument(document, next, revision);
  }

  // Writes the document by compare-and-swap. A lost write that is still in flight expects the same
  // revision as this one, so at most one of the two is applied.
  std::optional<ChangeResult> WriteDocument(const Document& document, const Document& next,
                                            platform::Revision revision) {
    try {
      const platform::SwapResult result =
          m_service.CompareAndSwap(kConfigurationKey, revision, ToText(next));
      if (result.swapped) {
        return ChangeResult{ChangeOutcome::kAccepted, next.version, "", ""};
      }
      if (IsMutantEnabled("write_without_revision_check") && revision != result.revision) {
        return WriteDocument(document, next, result.revision);
      }
      m_min_revision = std::max(m_min_revision, result.revision);
      m_reason = kTooManyConflictsReason;
      m_message = "every attempt conflicted with another change";
    } catch (const platform::KeyValueOutcomeUnknown& error) {
      if (IsMutantEnabled("lost_answer_not_accepted")) {
        return ChangeResult{ChangeOutcome::kNotAccepted, 0, "answer_lost", error.what()};
      }
      m_lost_write = LostWrite{revision, document.version};
      m_reason = "answer_lost";
      m_message = error.what();
    }
    return std::nullopt;
  }

  // Sets the expected version of each edit without one to the record's version in the first read,
  // so that a retry does not overwrite a concurrent change of the same record.
  Change WithExpectedVersions(const Document& document) {
    Change versioned_change = m_change;
    for (RecordEdit& edit : versioned_change.edits) {
      if (!edit.if_version) {
        edit.if_version =
            m_first_versions.try_emplace(edit.key, RecordVersion(document, edit.key)).first->second;
      }
    }
    return versioned_change;
  }

  // Whether the document's recent changes reach back to this version.
  static bool RecentChangesReach(const Document& document, ConfigurationVersion version) {
    return !document.recent_changes.empty() && document.recent_changes.front().version <= version;
  }

  const Change& m_change;
  platform::KeyValueService& m_service;
  /// Highest revision seen; a read of a lower one is stale.
  platform::Revision m_min_revision = 0;
  std::optional<LostWrite> m_lost_write;
  /// Versions of the records in the first read.
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
  const Delta delta = BuildDelta(document, change);
  Document next = ApplyDelta(document, delta);
  Validate(document, delta, next, change.replicas);
  return next;
}

ChangeResult ChangeRecords(const Change& change, platform::KeyValueService& service,
                           RandomSource& random, const Pause& pause) {
  ChangeTransaction transaction(change, service);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (attempt > 0) {
      const auto bound = kFirstBackoff * (1 << std::min(attempt - 1, kMaxDoublings));
      pause(std::chrono::milliseconds(random.NextBelow(static_cast<std::uint64_t>(bound.count()))));
    }
    if (const std::optional<ChangeResult> result = transaction.Attempt()) {
      return *result;
    }
  }
  return transaction.FailureResult();
}

}  // namespace wagtailwind::records
