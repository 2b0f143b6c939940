/** \file
 * Small helpers of the load tool: texts, times, what an answer says.
 */
#pragma once

#include "edge/HttpExchange.h"

#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace toucanshed::standin {

/** aCount words, the same for the same seed. */
std::string
RandomWords(std::uint64_t aSeed, std::uint64_t aCount);

/** Seconds since the epoch. */
std::uint64_t
UnixSeconds();

/** Milliseconds since then. */
double
MsSince(std::chrono::steady_clock::time_point aStart);

/** The patience of an ordinary client. */
CallTimeouts
ClientTimeouts();

/** The content of the first choice's part; \param aField "delta" or "message".
 * Precondition: the chunk is one of the daemon's. */
std::string
ContentOf(const boost::json::value& aChunk, const char* aField);

} // namespace toucanshed::standin
