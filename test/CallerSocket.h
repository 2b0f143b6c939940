/** \file
 * An ordinary caller on a blocking socket.
 */
#pragma once

#include "edge/Endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace toucanshed::test {

/** Sends a request and returns the whole response; empty if the connection
 * ended or stood still before it was complete. */
std::string
Exchange(const Endpoint& aServer, const std::string& aRequest);

/** Status of a response, 0 without one. */
unsigned
StatusOf(const std::string& aResponse);

/** Sends a request, and sends it again after the time that a refusal asks for,
 * some times at most. \return whether it got a 200 */
bool
IsAnsweredAt(const Endpoint& aServer, const std::string& aRequest);

/** Ports on which nothing listens. */
std::vector<Endpoint>
FreeEndpoints(std::size_t aCount);

} // namespace toucanshed::test
