/** \file
 * Hands streams over to peers when this daemon stops before they end, and
 * finds them for callers that resume.
 */
#pragma once

#include "DaemonState.h"

#include <optional>

namespace toucanshed {

/** Sends a stream's tokens to two peers, in two other failure domains if
 * possible: the wave of reclaims that stops this instance may stop the first
 * peer too. Thread safety: any thread. */
void
HandOverStream(DaemonState& aState, const HandedOverStream& aStream);

/** Stores streams that a peer has handed over. Thread safety: any thread. */
void
StoreHandedOver(DaemonState& aState, const peer::Envelope& aEnvelope);

/** Looks for a stream at this daemon, then at the peers that most likely
 * store it. */
Task<std::optional<HandedOverStream>>
FindHandedOverStream(DaemonState& aState, Worker& aWorker, RequestId aRequest);

/** A stream stored at this daemon, as a serialized peer::Handover; empty if it
 * is not stored. */
std::string
SerializeHandedOver(DaemonState& aState, const RequestId& aRequest);

} // namespace toucanshed
