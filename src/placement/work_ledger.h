#ifndef WAGTAILWIND_PLACEMENT_WORK_LEDGER_H_
#define WAGTAILWIND_PLACEMENT_WORK_LEDGER_H_

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

#include "core/ids.h"

namespace wagtailwind::placement {

/// \brief Remaining work of one admitted request, in work tokens.
struct WorkItem {
  OrganisationName organisation;
  PriorityClassName priority_class;
  /// Uncached prompt tokens; set to 0 with the first output token.
  std::uint64_t prompt_work = 0;
  /// Remaining output tokens times their weight.
  std::uint64_t output_work = 0;
};

/// \brief Current reservations of an admission gate, with the total and the sums by priority class
/// and organisation. Not thread-safe.
class WorkLedger {
 public:
  /// \brief Adds an item; returns its number, which is never 0 and never reused.
  std::uint64_t Add(const WorkItem& item);

  /// \brief Subtracts the prompt and the given output work from an item. Unknown numbers are
  /// ignored.
  void RecordOutput(std::uint64_t number, std::uint64_t output_work);

  /// \brief Removes an item. Unknown numbers are ignored.
  void Remove(std::uint64_t number);

  [[nodiscard]] std::uint64_t Total() const noexcept { return m_total; }
  [[nodiscard]] std::size_t Count() const noexcept { return m_items.size(); }
  [[nodiscard]] std::uint64_t OfClass(const PriorityClassName& priority_class) const;
  [[nodiscard]] std::uint64_t OfOrganisation(const OrganisationName& organisation) const;

 private:
  template <typename Name>
  using Sums = absl::flat_hash_map<Name, std::uint64_t>;

  void Subtract(const WorkItem& item, std::uint64_t work);

  std::uint64_t m_next_number = 1;
  std::uint64_t m_total = 0;
  absl::flat_hash_map<std::uint64_t, WorkItem> m_items;
  /// Entries exist only while their sum is above 0, which bounds the tables by the reservations.
  Sums<PriorityClassName> m_by_class;
  Sums<OrganisationName> m_by_organisation;
};

}  // namespace wagtailwind::placement

#endif  // WAGTAILWIND_PLACEMENT_WORK_LEDGER_H_
