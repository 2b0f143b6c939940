/** \file
 * Takes an operator's change of configuration through the log.
 */
#pragma once

#include "DaemonState.h"
#include "edge/HttpTypes.h"

namespace toucanshed {

/**
 * POST /config[?wait=1] with a ConfigChange in JSON: the document and the
 * revision it is based on. Answers 200 with the new revision once the change
 * is read back as accepted, 409 when another change was first, 422 for a
 * document with mistakes, 503 when the log does not confirm in time, in which
 * case the change may still come into force. With wait=1 the answer comes
 * when every daemon that is alive has it in force, and names those that had
 * not in time.
 *
 * Thread safety: may be called on any worker.
 */
Task<HttpResponse>
ApplyConfigChange(DaemonState& aState,
                  Worker& aWorker,
                  const HttpRequest& aRequest);

} // namespace toucanshed
