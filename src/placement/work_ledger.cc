#include "placement/work_ledger.h"

#include <algorithm>

namespace wagtailwind::placement {

namespace {

template <typename Sums, typename Name>
std::uint64_t SumOf(const Sums& sums, const Name& name) {
  const auto found = sums.find(name);
  return found == sums.end() ? 0 : found->second;
}

template <typename Sums, typename Name>
void SubtractFromSum(Sums& sums, const Name& name, std::uint64_t work) {
  const auto found = sums.find(name);
  if (found != sums.end() && (found->second -= work) == 0) {
    sums.erase(found);
  }
}

}  // namespace

std::uint64_t WorkLedger::Add(const WorkItem& item) {
  const std::uint64_t work = item.prompt_work + item.output_work;
  if (work > 0) {
    m_total += work;
    m_by_class[item.priority_class] += work;
    m_by_organisation[item.organisation] += work;
  }
  const std::uint64_t number = m_next_number++;
  m_items.emplace(number, item);
  return number;
}

void WorkLedger::RecordOutput(std::uint64_t number, std::uint64_t output_work) {
  const auto found = m_items.find(number);
  if (found == m_items.end()) {
    return;
  }
  WorkItem& item = found->second;
  const std::uint64_t done = std::min(output_work, item.output_work);
  Subtract(item, item.prompt_work + done);
  item.prompt_work = 0;
  item.output_work -= done;
}

void WorkLedger::Remove(std::uint64_t number) {
  const auto found = m_items.find(number);
  if (found == m_items.end()) {
    return;
  }
  Subtract(found->second, found->second.prompt_work + found->second.output_work);
  m_items.erase(found);
}

std::uint64_t WorkLedger::OfClass(const PriorityClassName& priority_class) const {
  return SumOf(m_by_class, priority_class);
}

std::uint64_t WorkLedger::OfOrganisation(const OrganisationName& organisation) const {
  return SumOf(m_by_organisation, organisation);
}

void WorkLedger::Subtract(const WorkItem& item, std::uint64_t work) {
  if (work == 0) {
    return;
  }
  m_total -= work;
  SubtractFromSum(m_by_class, item.priority_class, work);
  SubtractFromSum(m_by_organisation, item.organisation, work);
}

}  // namespace wagtailwind::placement
