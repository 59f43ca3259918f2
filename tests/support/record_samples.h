#ifndef WAGTAILWIND_TESTS_SUPPORT_RECORD_SAMPLES_H_
#define WAGTAILWIND_TESTS_SUPPORT_RECORD_SAMPLES_H_

#include <string>

#include "platform/key_value_service.h"
#include "records/change.h"

namespace wagtailwind::testing {

/// \brief Returns an edit that writes one record.
[[nodiscard]] records::RecordEdit PutOf(const std::string& kind, const std::string& name,
                                        const std::string& body, std::uint32_t schema = 1);

/// \brief Returns an edit that removes one record.
[[nodiscard]] records::RecordEdit RemovalOf(const std::string& kind, const std::string& name);

/// \brief Applies a change with a new id, without waiting between attempts.
records::ChangeResult Make(platform::KeyValueService& service,
                           std::vector<records::RecordEdit> edits);

/// \brief Returns the configuration document that the service stores; empty if there is none.
[[nodiscard]] records::Document Stored(platform::KeyValueService& service);

/// \brief Writes a priority class `normal` and a model `m` of pool `p` with engines `e1` and `e2`
/// in zones `z1` and `z2`.
void StoreBasics(platform::KeyValueService& service);

}  // namespace wagtailwind::testing

#endif  // WAGTAILWIND_TESTS_SUPPORT_RECORD_SAMPLES_H_
