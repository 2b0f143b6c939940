#include "SloMissReason.h"

#include <algorithm>
#include <array>
#include <optional>

namespace toucanshed {

namespace {

/** An engine's crash explains what ended there within this long around it. */
constexpr Millis kCrashWindow{ 2500 };
/** An engine that was told to leave goes within this long. */
constexpr Millis kLeaveWindow{ 12000 };

constexpr unsigned kOk = 200;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kServiceUnavailable = 503;

std::optional<TimePoint>
StageReachedAt(const EngineHistories& aLives,
               const std::string& aBackend,
               EngineStage aStage)
{
  const auto life = aLives.find(aBackend);
  if (life == aLives.end()) {
    return std::nullopt;
  }
  const auto found = life->second.firstSeenAt.find(aStage);
  return found == life->second.firstSeenAt.end() ? std::nullopt
                                                 : std::optional(found->second);
}

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/** What is known of the engine that a request was last at. */
std::optional<SloMissReason>
EngineReason(const EngineHistories& aLives,
             const std::string& aBackend,
             TimePoint aAt)
{
  const auto crashed = StageReachedAt(aLives, aBackend, EngineStage::eCrashed);
  const bool around =
    crashed && *crashed - aAt <= kCrashWindow && aAt - *crashed <= kCrashWindow;
  if (around) {
    return SloMissReason::eEngineCrashed;
  }
  const auto leaving = StageReachedAt(aLives, aBackend, EngineStage::eLeaving);
  if (leaving && aAt >= *leaving && aAt - *leaving <= kLeaveWindow) {
    return SloMissReason::eEngineLeft;
  }
  return std::nullopt;
}

std::optional<SloMissReason>
RefusalReason(const RequestRecord& aEnd)
{
  if (aEnd.status == kTooManyRequests) {
    return SloMissReason::eOverLimit;
  }
  if (Contains(aEnd.reason, "no back end")) {
    return SloMissReason::eNoEngine;
  }
  if (Contains(aEnd.reason, "too much to read")) {
    return SloMissReason::eBehindPrompts;
  }
  if (Contains(aEnd.reason, "full")) {
    return SloMissReason::eEnginesFull;
  }
  if (Contains(aEnd.reason, "no configuration")) {
    return SloMissReason::eDaemonStarting;
  }
  if (Contains(aEnd.reason, "no time")) {
    return SloMissReason::eLittleTime;
  }
  return std::nullopt;
}

bool
IsTimeout(const std::string& aWhy)
{
  return Contains(aWhy, "timeout") || Contains(aWhy, "timed out");
}

SloMissReason
LateResponseReason(const RequestRecord& aEnd)
{
  const std::int64_t wait =
    std::max(aEnd.expectedFirstTokenMs, aEnd.firstTokenMs / 2);
  const bool behind =
    aEnd.queuedTokens > 0 && aEnd.expectedFirstTokenMs * 2 >= wait;
  if (behind) {
    return SloMissReason::eBehindPrompts;
  }
  return aEnd.sends > 0 ? SloMissReason::eEngineSlow
                        : SloMissReason::eUnexplained;
}

} // namespace

std::string_view
NameOf(SloMissReason aReason)
{
  static constexpr std::array<std::string_view, kSloMissReasonCount> kNames{
    "behind_prompts", "engine_left", "engine_crashed",  "engine_hung",
    "engine_failed",  "engine_slow", "no_engine",       "engines_full",
    "little_time",    "over_limit",  "daemon_starting", "unexplained"
  };
  return kNames.at(static_cast<std::size_t>(aReason));
}

EngineHistories
EngineHistoriesOf(const LogEvents& aEvents)
{
  EngineHistories lives;
  for (const EngineChange& change : aEvents.engineChanges) {
    EngineHistory& life = lives[change.backend];
    const auto [entry, isNew] =
      life.firstSeenAt.try_emplace(change.stage, change.at);
    if (!isNew) {
      entry->second = std::min(entry->second, change.at);
    }
    if (!change.service.empty()) {
      life.service = change.service;
    }
  }
  return lives;
}

FirstFailedSends
FirstFailedSendsOf(const LogEvents& aEvents)
{
  FirstFailedSends sends;
  for (const SendRecord& send : aEvents.sends) {
    if (send.outcome != "answered") {
      sends.try_emplace(send.request, send);
    }
  }
  return sends;
}

SloOutcome
SloOutcomeOf(const RequestRecord& aEnd)
{
  if (aEnd.status == 0) {
    return SloOutcome::eNotCounted;
  }
  if (aEnd.status == kTooManyRequests || aEnd.status == kServiceUnavailable) {
    return SloOutcome::eRefused;
  }
  if (aEnd.status >= kServerError || Contains(aEnd.reason, "stream cut")) {
    return SloOutcome::eFailed;
  }
  if (aEnd.status != kOk) {
    return SloOutcome::eNotCounted;
  }
  const bool late =
    aEnd.firstTokenTargetMs > 0 && aEnd.firstTokenMs > aEnd.firstTokenTargetMs;
  const bool paused =
    aEnd.tokenGapTargetMs > 0 && aEnd.maxTokenGapMs > aEnd.tokenGapTargetMs;
  return late || paused ? SloOutcome::eLate : SloOutcome::eOnTime;
}

SloMissReason
SloMissReasonOf(const RequestRecord& aEnd,
                SloOutcome aFate,
                const EngineHistories& aLives,
                const FirstFailedSends& aSends)
{
  if (aFate == SloOutcome::eRefused) {
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
  const std::string& why =
    sent == aSends.end() ? aEnd.reason : sent->second.reason;
  if (IsTimeout(why)) {
    return SloMissReason::eEngineHung;
  }
  if (sent != aSends.end() || aFate == SloOutcome::eFailed) {
    return SloMissReason::eEngineFailed;
  }
  return aFate == SloOutcome::eLate ? LateResponseReason(aEnd)
                                    : SloMissReason::eUnexplained;
}

} // namespace toucanshed
