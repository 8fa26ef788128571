#pragma once

// Umbrella include of the public headers.
#include <dandeliondock/config/config_state.h>
#include <dandeliondock/config/config_store.h>
#include <dandeliondock/config/resources.h>
#include <dandeliondock/config/ticket.h>
#include <dandeliondock/core/bounded_ring.h>
#include <dandeliondock/core/error.h>
#include <dandeliondock/core/ids.h>
#include <dandeliondock/core/log_event.h>
#include <dandeliondock/core/metrics.h>
#include <dandeliondock/core/random_source.h>
#include <dandeliondock/core/strong_type.h>
#include <dandeliondock/core/time_source.h>
#include <dandeliondock/core/units.h>
#include <dandeliondock/forward_declarations.h>
#include <dandeliondock/http/client.h>
#include <dandeliondock/http/message.h>
#include <dandeliondock/http/server.h>
#include <dandeliondock/node/node.h>
#include <dandeliondock/settings/node_settings.h>
#include <dandeliondock/store/http_store.h>
#include <dandeliondock/store/store_hooks.h>
#include <dandeliondock/tickets/acceptance.h>
