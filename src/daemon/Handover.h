/** \file
 * Hands streams to peers when this daemon must go before they end, and finds
 * them again for callers that come back.
 */
#pragma once

#include "DaemonState.h"

#include <optional>

namespace toucanshed {

/** Sends a stream's tokens to two peers, in two other failure domains where
 * there are such: the wave that takes this instance may take the first peer
 * too. Thread safety: any thread. */
void
HandOverStream(DaemonState& aState, const HandedOverStream& aStream);

/** Keeps what a peer has handed over. Thread safety: any thread. */
void
StoreHandedOver(DaemonState& aState, const peer::Envelope& aEnvelope);

/** Looks for a stream here, then at the peers that most likely hold it. */
Task<std::optional<HandedOverStream>>
FindHandedOverStream(DaemonState& aState, Worker& aWorker, RequestId aRequest);

/** A stream that is held here, as the peers' protobuf; empty if it is not. */
std::string
SerializeHandedOver(DaemonState& aState, const RequestId& aRequest);

} // namespace toucanshed
