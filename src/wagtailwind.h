#ifndef WAGTAILWIND_WAGTAILWIND_H_
#define WAGTAILWIND_WAGTAILWIND_H_

/// \file
/// \brief All public interfaces of the project.

#include "core/clock.h"
#include "core/error.h"
#include "core/hash.h"
#include "core/ids.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/random_source.h"
#include "core/worker_pool.h"
#include "endpoint/model_engine.h"
#include "endpoint/plain_service.h"
#include "gossip/member.h"
#include "gossip/member_view.h"
#include "placement/admission_gate.h"
#include "placement/candidate_selector.h"
#include "platform/http_instance_list.h"
#include "platform/http_key_value_service.h"
#include "platform/instance_list.h"
#include "platform/key_value_service.h"
#include "records/change.h"
#include "records/configuration_replica.h"
#include "records/configuration_store.h"
#include "records/configuration_view.h"
#include "records/configuration_watcher.h"
#include "records/document.h"
#include "records/errors.h"
#include "records/fence.h"
#include "records/initial_load.h"
#include "records/record_kinds.h"
#include "records/validation.h"
#include "requests/claim_log.h"
#include "requests/outcome.h"
#include "settings/settings.h"

#endif  // WAGTAILWIND_WAGTAILWIND_H_
