#include "LossReason.h"

#include <algorithm>
#include <array>
#include <optional>

namespace toucanshed {

namespace {

/** An engine's crash explains what ended there within this long around it. */
constexpr Millis kCrashAround{ 2500 };
/** An engine that was told to leave goes within this long. */
constexpr Millis kLeaves{ 12000 };

constexpr unsigned kOk = 200;
constexpr unsigned kTooMany = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;

std::optional<TimePoint>
StageOf(const EngineLives& aLives,
        const std::string& aBackend,
        EngineStage aStage)
{
  const auto life = aLives.find(aBackend);
  if (life == aLives.end()) {
    return std::nullopt;
  }
  const auto found = life->second.first.find(aStage);
  return found == life->second.first.end() ? std::nullopt
                                           : std::optional(found->second);
}

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/** What is known of the engine that a request was last at. */
std::optional<LossReason>
EngineReason(const EngineLives& aLives,
             const std::string& aBackend,
             TimePoint aAt)
{
  const auto crashed = StageOf(aLives, aBackend, EngineStage::eCrashed);
  const bool around =
    crashed && *crashed - aAt <= kCrashAround && aAt - *crashed <= kCrashAround;
  if (around) {
    return LossReason::eEngineCrashed;
  }
  const auto leaving = StageOf(aLives, aBackend, EngineStage::eLeaving);
  if (leaving && aAt >= *leaving && aAt - *leaving <= kLeaves) {
    return LossReason::eEngineLeft;
  }
  return std::nullopt;
}

std::optional<LossReason>
RefusalReason(const RequestEnd& aEnd)
{
  if (aEnd.status == kTooMany) {
    return LossReason::eOverLimit;
  }
  if (Contains(aEnd.why, "no back end")) {
    return LossReason::eNoEngine;
  }
  if (Contains(aEnd.why, "too much to read")) {
    return LossReason::eBehindPrompts;
  }
  if (Contains(aEnd.why, "full")) {
    return LossReason::eEnginesFull;
  }
  if (Contains(aEnd.why, "no configuration")) {
    return LossReason::eDaemonStarting;
  }
  if (Contains(aEnd.why, "no time")) {
    return LossReason::eLittleTime;
  }
  return std::nullopt;
}

bool
Hung(const std::string& aWhy)
{
  return Contains(aWhy, "timeout") || Contains(aWhy, "timed out");
}

LossReason
LateReason(const RequestEnd& aEnd)
{
  const std::int64_t wait = std::max(aEnd.expectedMs, aEnd.firstMs / 2);
  const bool behind = aEnd.aheadTokens > 0 && aEnd.expectedMs * 2 >= wait;
  if (behind) {
    return LossReason::eBehindPrompts;
  }
  return aEnd.sends > 0 ? LossReason::eEngineSlow : LossReason::eUnexplained;
}

} // namespace

std::string_view
NameOf(LossReason aReason)
{
  static constexpr std::array<std::string_view, kLossReasons> kNames{
    "behind_prompts", "engine_left", "engine_crashed",  "engine_hung",
    "engine_failed",  "engine_slow", "no_engine",       "engines_full",
    "little_time",    "over_limit",  "daemon_starting", "unexplained"
  };
  return kNames.at(static_cast<std::size_t>(aReason));
}

EngineLives
LivesOf(const ReportEvents& aEvents)
{
  EngineLives lives;
  for (const EngineChange& change : aEvents.engines) {
    EngineLife& life = lives[change.backend];
    const auto [entry, isNew] = life.first.try_emplace(change.stage, change.at);
    if (!isNew) {
      entry->second = std::min(entry->second, change.at);
    }
    if (!change.service.empty()) {
      life.service = change.service;
    }
  }
  return lives;
}

FirstSends
FirstSendsOf(const ReportEvents& aEvents)
{
  FirstSends sends;
  for (const SendEnd& send : aEvents.sends) {
    if (send.outcome != "answered") {
      sends.try_emplace(send.request, send);
    }
  }
  return sends;
}

RequestFate
FateOf(const RequestEnd& aEnd)
{
  if (aEnd.status == 0) {
    return RequestFate::eNotCounted;
  }
  if (aEnd.status == kTooMany || aEnd.status == kUnavailable) {
    return RequestFate::eRefused;
  }
  if (aEnd.status >= kServerError || Contains(aEnd.why, "stream cut")) {
    return RequestFate::eFailed;
  }
  if (aEnd.status != kOk) {
    return RequestFate::eNotCounted;
  }
  const bool late = aEnd.targetMs > 0 && aEnd.firstMs > aEnd.targetMs;
  const bool paused = aEnd.gapTargetMs > 0 && aEnd.gapMs > aEnd.gapTargetMs;
  return late || paused ? RequestFate::eLate : RequestFate::eOnTime;
}

LossReason
ReasonOf(const RequestEnd& aEnd,
         RequestFate aFate,
         const EngineLives& aLives,
         const FirstSends& aSends)
{
  if (aFate == RequestFate::eRefused) {
    if (const auto reason = RefusalReason(aEnd)) {
      return *reason;
    }
  }
  const auto sent = aSends.find(aEnd.request);
  const std::string& backend =
    sent == aSends.end() ? aEnd.backend : sent->second.backend;
  if (const auto reason = EngineReason(aLives, backend, aEnd.endedAt)) {
    return *reason;
  }
  const std::string& why = sent == aSends.end() ? aEnd.why : sent->second.why;
  if (Hung(why)) {
    return LossReason::eEngineHung;
  }
  if (sent != aSends.end() || aFate == RequestFate::eFailed) {
    return LossReason::eEngineFailed;
  }
  return aFate == RequestFate::eLate ? LateReason(aEnd)
                                     : LossReason::eUnexplained;
}

} // namespace toucanshed
