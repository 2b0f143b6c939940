/** \file
 * One caller's request on its way through admission, placement and attempts,
 * whatever protocol it came by.
 */
#pragma once

#include "base/Types.h"
#include "coord/Catalog.h"
#include "coord/PromptSection.h"
#include "edge/HttpTypes.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** What a caller's protocol says about a request. */
struct IncomingRequest
{
  AttemptId attempt;
  std::string host;
  std::string target;                  // path and query as sent
  std::string key;                     // the caller's, empty when it sent none
  std::optional<Millis> callerTimeout; // how long the caller waits
  std::vector<PromptSection> prompt;
  std::uint64_t promptTokens = 0;
  std::uint64_t maxOutputTokens = 0;
  bool hasTokenCounts = false;
  std::optional<std::uint64_t> resumeAfter; // last event the caller has
  /** Head and body as received, to be passed on. */
  const HttpRequest* message = nullptr;
};

/** A request that was admitted. */
struct ServingRequest
{
  IncomingRequest incoming;
  std::shared_ptr<const Catalog> catalog; // the one version it is served by
  const Route* route = nullptr;           // of catalog
  const Team* team = nullptr;             // of catalog; null on open routes
  ServiceId service;
  TimePoint arrived;  // by the steady clock
  TimePoint deadline; // the caller's or the route's, whichever is first
  Fingerprint fingerprint;

  /** 0 goes first. A team's urgency goes before its route's. */
  [[nodiscard]] int Priority() const
  {
    return this->team != nullptr && this->team->priority
             ? *this->team->priority
             : this->route->priority;
  }
};

} // namespace toucanshed
