/** \file
 * One caller's request, as admission, placement and attempts handle it,
 * whatever its protocol.
 */
#pragma once

#include "base/Types.h"
#include "coord/Catalog.h"
#include "coord/CrashSuspects.h"
#include "coord/PromptSection.h"
#include "edge/HttpTypes.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** What a caller's protocol states about a request. */
struct IncomingRequest
{
  AttemptId attempt;
  std::string host;
  std::string target; // path and query as sent
  std::string key;    // the caller's key, empty when it sent none
  std::optional<Millis> callerTimeout; // how long the caller waits
  std::vector<PromptSection> prompt;
  std::uint64_t promptTokens = 0;
  std::uint64_t maxOutputTokens = 0;
  std::uint64_t lengthHint = 0; // expected output tokens; 0: not stated
  bool hasTokenCounts = false;
  std::optional<std::uint64_t> resumeAfter; // last event the caller has
  /** Head and body as received, for forwarding. */
  const HttpRequest* message = nullptr;
};

/** An admitted request. */
struct ServingRequest
{
  IncomingRequest incoming;
  std::shared_ptr<const Catalog> catalog; // the one version that applies to it
  const Route* route = nullptr;           // of catalog
  const Team* team = nullptr;             // of catalog; null on open routes
  ServiceId service;
  TimePoint arrived;  // by the steady clock
  TimePoint deadline; // the caller's or the route's, whichever is first
  /** What in it may crash back ends: each section of the prompt that others may
   * share, then the request itself. */
  std::vector<SuspectId> suspects;
  /** Another daemon has admitted it and forwards the response to the caller. */
  bool relayed = false;

  /** The suspects without the request itself. */
  [[nodiscard]] std::vector<SuspectId> SectionSuspects() const
  {
    return { this->suspects.begin(), this->suspects.end() - 1 };
  }
  /** Its team; empty on open routes. */
  [[nodiscard]] TeamId TeamName() const
  {
    return this->team != nullptr ? this->team->id : TeamId{};
  }
  /** Priority, 0 being the most urgent. A team's priority overrides its
   * route's. */
  [[nodiscard]] int Priority() const
  {
    return this->team != nullptr && this->team->priority
             ? *this->team->priority
             : this->route->priority;
  }
};

} // namespace toucanshed
