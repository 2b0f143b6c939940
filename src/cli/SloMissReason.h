/** \file
 * Why a request was not served on time, from what the logs say of it and of the
 * engines it was sent to.
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
  eNotCounted, // not allowed, or its caller left
};

/** Why a request was not served on time. */
enum class SloMissReason
{
  eBehindPrompts, // other prompts were to be read before its own
  eEngineLeft,
  eEngineCrashed,
  eEngineHung,
  eEngineFailed, // its own failure, or an answer that was no answer
  eEngineSlow,   // nothing ahead, and far later than expected
  eNoEngine,
  eEnginesFull,
  eLittleTime, // too little was left when it was admitted
  eOverLimit,
  eDaemonStarting,
  eUnexplained,
};

constexpr std::size_t kSloMissReasonCount =
  static_cast<std::size_t>(SloMissReason::eUnexplained) + 1;

/** The one word that the report uses. */
std::string_view
NameOf(SloMissReason aReason);

/** When an engine was seen in each stage first. */
struct EngineHistory
{
  std::map<EngineStage, TimePoint> firstSeenAt;
  std::string service;
};

using EngineHistories = std::map<std::string, EngineHistory>;

/** Thread safety: pure, like all functions here. */
EngineHistories
EngineHistoriesOf(const LogEvents& aEvents);

/** Of a request that was sent more than once, how its first send ended. */
using FirstFailedSends = std::map<std::string, SendRecord>;

FirstFailedSends
FirstFailedSendsOf(const LogEvents& aEvents);

SloOutcome
SloOutcomeOf(const RequestRecord& aEnd);

/** Precondition: aFate is that of aEnd; late, refused or failed. */
SloMissReason
SloMissReasonOf(const RequestRecord& aEnd,
                SloOutcome aFate,
                const EngineHistories& aLives,
                const FirstFailedSends& aSends);

} // namespace toucanshed
