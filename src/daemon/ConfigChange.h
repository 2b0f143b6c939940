/** \file
 * Applies an operator's change of configuration through the log.
 */
#pragma once

#include "DaemonState.h"
#include "edge/HttpTypes.h"

namespace toucanshed {

/**
 * Handles POST /config[?wait=1] with a ConfigChange in JSON: the document and
 * the revision it is based on. Responds with 200 and the new revision once the
 * change is read back from the log as accepted, 409 if another change was
 * first, 422 for an invalid document, and 503 if the log does not confirm in
 * time; in that case the change may still come into force. With wait=1 the
 * response is sent when every daemon that is not dead has applied the change.
 * It lists the daemons that have not applied it in time.
 *
 * Thread safety: may be called on any worker.
 */
Task<HttpResponse>
ApplyConfigChange(DaemonState& aState,
                  Worker& aWorker,
                  const HttpRequest& aRequest);

} // namespace toucanshed
