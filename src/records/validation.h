#ifndef WAGTAILWIND_RECORDS_VALIDATION_H_
#define WAGTAILWIND_RECORDS_VALIDATION_H_

#include <span>

#include "core/ids.h"
#include "records/document.h"

namespace wagtailwind::records {

/// \brief An engine that is known to run, in addition to those that the models' records list.
struct KnownReplica {
  EndpointName endpoint;
  AvailabilityZoneName zone;
  ServiceName pool;
};

/// \brief Checks the records that a delta changes by themselves, and all references between the
/// records of the document that results. Throws the error of the first rule that is broken.
void Validate(const Document& before, const Delta& delta, const Document& after,
              std::span<const KnownReplica> replicas);

}  // namespace wagtailwind::records

#endif  // WAGTAILWIND_RECORDS_VALIDATION_H_
