/** \file
 * Gets the operators' configuration from another daemon that has a newer one.
 *
 * The store may come back from a copy that lacks the newest configuration. A
 * daemon that starts then would go by an older one, and accept a key that was
 * revoked, until operators have written it again.
 */
#pragma once

#include "edge/HttpTypes.h"
#include "edge/Task.h"

namespace toucanshed {

class HttpResponder;
struct ServingState;

/** Path, on the port for other daemons, of the configuration's record. */
constexpr const char* kCatalogPath = "/internal/catalog";

/** Responds with the record of the configuration in force, as operators wrote
 * it. Thread safety: belongs to the worker, as does all of this file. */
Task<void>
SendCatalogRecord(ServingState& aState, HttpResponder& aResponder);

/** Fetches and applies the record of a daemon whose configuration has been
 * newer than the one here for longer than a read of the store takes. Runs for
 * as long as the daemon does. */
Task<void>
FollowPeerCatalogs(ServingState& aState);

} // namespace toucanshed
