#ifndef WAGTAILWIND_RECORDS_VALIDATION_H_
#define WAGTAILWIND_RECORDS_VALIDATION_H_

#include <span>

#include "core/ids.h"
#include "records/document.h"

namespace wagtailwind::records {

/// \brief An engine that is known to run, in addition to the replicas in the models' records.
struct KnownReplica {
  EndpointName endpoint;
  AvailabilityZoneName zone;
  ServiceName pool;
};

/// \brief Checks each record that a delta changes, all references between the records of the
/// resulting document, its size, and that drain plans leave each model an engine. Throws a
/// ChangeError for the first violation.
void Validate(const Document& before, const Delta& delta, const Document& after,
              std::span<const KnownReplica> replicas);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_VALIDATION_H_
