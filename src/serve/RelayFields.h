/** \file
 * Header fields with which one daemon hands a request to another one, and with
 * which that one reports how it ended.
 */
#pragma once

#include "base/Result.h"
#include "base/Types.h"
#include "edge/HttpTypes.h"

#include <cstdint>
#include <optional>

namespace toucanshed {

/** What the daemon that has admitted a request states about it. */
struct RelayTerms
{
  DaemonId from;
  Millis timeLeft{ 0 };
  std::uint64_t catalogVersion = 0;         // by which it was admitted
  std::optional<std::uint64_t> resumeAfter; // last event the caller has
};

/** How a relayed request ended without a response from a back end. */
struct RelayOutcome
{
  enum class Kind
  {
    eRefused,    // the daemon takes no request of others now
    eNotRun,     // it has found no back end that ran it
    eMayHaveRun, // there is no complete response
  };

  Kind kind = Kind::eMayHaveRun;
  unsigned sends = 0; // that reached back ends
  std::optional<Millis> retryAfter;
};

// Thread safety of all: any thread.

void
WriteRelayTerms(const RelayTerms& aTerms, HttpRequest& aRequest);
/** Takes the terms out of a request, which then is as the caller sent it. */
Result<RelayTerms>
TakeRelayTerms(HttpRequest& aRequest);

void
WriteRelayOutcome(const RelayOutcome& aOutcome, HttpResponse& aResponse);
/** Nothing for a back end's response. */
std::optional<RelayOutcome>
ReadRelayOutcome(const http::fields& aFields);
/** Removes fields that a back end must not be able to set. */
void
EraseRelayOutcome(HttpResponse& aResponse);

} // namespace toucanshed
