/** \file
 * Why a request was not served on time, from what the logs say of it and of the
 * engines it was sent to.
 */
#pragma once

#include "ReportEvents.h"

#include <map>
#include <string>
#include <string_view>

namespace toucanshed {

/** How a request ended for its caller. */
enum class RequestFate
{
  eOnTime,
  eLate,
  eRefused,
  eFailed,
  eNotCounted, // not allowed, or its caller left
};

/** Why a request was not served on time. */
enum class LossReason
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

constexpr std::size_t kLossReasons =
  static_cast<std::size_t>(LossReason::eUnexplained) + 1;

/** The one word that the report uses. */
std::string_view
NameOf(LossReason aReason);

/** When an engine was seen in each stage first. */
struct EngineLife
{
  std::map<EngineStage, TimePoint> first;
  std::string service;
};

using EngineLives = std::map<std::string, EngineLife>;

/** Thread safety: pure, like all functions here. */
EngineLives
LivesOf(const ReportEvents& aEvents);

/** Of a request that was sent more than once, how its first send ended. */
using FirstSends = std::map<std::string, SendEnd>;

FirstSends
FirstSendsOf(const ReportEvents& aEvents);

RequestFate
FateOf(const RequestEnd& aEnd);

/** Precondition: aFate is that of aEnd; late, refused or failed. */
LossReason
ReasonOf(const RequestEnd& aEnd,
         RequestFate aFate,
         const EngineLives& aLives,
         const FirstSends& aSends);

} // namespace toucanshed
