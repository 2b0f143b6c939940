/** \file
 * Finds out why a request was not served on time, from the log events of the
 * request and of the engines it was sent to.
 */
#pragma once

#include "LogEvents.h"

#include <map>
#include <string>
#include <string_view>

namespace toucanshed {

/** How a request ended for its caller. */
enum class SloOutcome
{
  eOnTime,
  eLate,
  eRefused,
  eFailed,
  eNotCounted, // rejected with another status, or its caller disconnected
};

/** Why a request was not served on time. */
enum class SloMissReason
{
  eBehindPrompts, // the engine had other prompts to prefill first
  eEngineLeft,
  eEngineCrashed,
  eEngineHung,
  eEngineFailed, // the engine failed, or sent an invalid response
  eEngineSlow,   // no queued prompts, and far later than expected
  eNoEngine,
  eEnginesFull,
  eLittleTime, // too little time was left when it was admitted
  eOverLimit,
  eDaemonStarting,
  eUnexplained,
};

constexpr std::size_t kSloMissReasonCount =
  static_cast<std::size_t>(SloMissReason::eUnexplained) + 1;

/** The name that the report prints, such as "engine_left". */
std::string_view
NameOf(SloMissReason aReason);

/** When an engine was first observed in each stage. */
struct EngineHistory
{
  std::map<EngineStage, TimePoint> firstSeenAt;
  std::string service;
};

using EngineHistories = std::map<std::string, EngineHistory>;

/** The histories of all engines in aEvents, by engine.
 * Thread safety: pure, like all functions here. */
EngineHistories
EngineHistoriesOf(const LogEvents& aEvents);

/** For each request with a failed attempt, its first failed attempt. */
using FirstFailedSends = std::map<std::string, SendRecord>;

FirstFailedSends
FirstFailedSendsOf(const LogEvents& aEvents);

SloOutcome
SloOutcomeOf(const RequestRecord& aRequest);

/** Precondition: aOutcome is that of aRequest, and is late, refused or failed.
 */
SloMissReason
SloMissReasonOf(const RequestRecord& aRequest,
                SloOutcome aOutcome,
                const EngineHistories& aHistories,
                const FirstFailedSends& aSends);

} // namespace toucanshed
