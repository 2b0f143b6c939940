/** \file
 * Helpers of the load generator: random texts, times, contents of responses.
 */
#pragma once

#include "edge/HttpExchange.h"

#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace toucanshed::standin {

/** aCount random words; the same seed gives the same words. */
std::string
RandomWords(std::uint64_t aSeed, std::uint64_t aCount);

/** Seconds since the epoch. */
std::uint64_t
UnixSeconds();

/** Milliseconds since aStart. */
double
MsSince(std::chrono::steady_clock::time_point aStart);

/** The timeouts of an ordinary client. */
CallTimeouts
ClientTimeouts();

/** The content of the first choice. \param aField "delta" or "message".
 * Precondition: aChunk was sent by the daemon. */
std::string
ContentOf(const boost::json::value& aChunk, const char* aField);

} // namespace toucanshed::standin
