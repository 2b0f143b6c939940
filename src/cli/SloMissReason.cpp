#include "SloMissReason.h"

#include <algorithm>
#include <array>
#include <optional>

namespace toucanshed {

namespace {

/** A crash of an engine explains a request that ended at that engine at most
 * this long before or after it. */
constexpr Millis kCrashWindow{ 2500 };
/** An engine that reports that it is leaving is gone within this time. */
constexpr Millis kLeaveWindow{ 12000 };

constexpr unsigned kOk = 200;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kServiceUnavailable = 503;

std::optional<TimePoint>
StageReachedAt(const EngineHistories& aHistories,
               const std::string& aBackend,
               EngineStage aStage)
{
  const auto history = aHistories.find(aBackend);
  if (history == aHistories.end()) {
    return std::nullopt;
  }
  const auto found = history->second.firstSeenAt.find(aStage);
  return found == history->second.firstSeenAt.end()
           ? std::nullopt
           : std::optional(found->second);
}

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/** The reason that the state of the engine gives, if it was crashing or leaving
 * when the request ended at aAt. */
std::optional<SloMissReason>
EngineReason(const EngineHistories& aHistories,
             const std::string& aBackend,
             TimePoint aAt)
{
  const auto crashed =
    StageReachedAt(aHistories, aBackend, EngineStage::eCrashed);
  const bool nearCrash =
    crashed && *crashed - aAt <= kCrashWindow && aAt - *crashed <= kCrashWindow;
  if (nearCrash) {
    return SloMissReason::eEngineCrashed;
  }
  const auto leaving =
    StageReachedAt(aHistories, aBackend, EngineStage::eLeaving);
  if (leaving && aAt >= *leaving && aAt - *leaving <= kLeaveWindow) {
    return SloMissReason::eEngineLeft;
  }
  return std::nullopt;
}

std::optional<SloMissReason>
RefusalReason(const RequestRecord& aRequest)
{
  if (aRequest.status == kTooManyRequests) {
    return SloMissReason::eOverLimit;
  }
  if (Contains(aRequest.reason, "no back end")) {
    return SloMissReason::eNoEngine;
  }
  if (Contains(aRequest.reason, "too much to read")) {
    return SloMissReason::eBehindPrompts;
  }
  if (Contains(aRequest.reason, "full")) {
    return SloMissReason::eEnginesFull;
  }
  if (Contains(aRequest.reason, "no configuration")) {
    return SloMissReason::eDaemonStarting;
  }
  if (Contains(aRequest.reason, "no time")) {
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
LateResponseReason(const RequestRecord& aRequest)
{
  const std::int64_t wait =
    std::max(aRequest.expectedFirstTokenMs, aRequest.firstTokenMs / 2);
  const bool waitedForPrompts =
    aRequest.queuedTokens > 0 && aRequest.expectedFirstTokenMs * 2 >= wait;
  if (waitedForPrompts) {
    return SloMissReason::eBehindPrompts;
  }
  return aRequest.sends > 0 ? SloMissReason::eEngineSlow
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
  EngineHistories histories;
  for (const EngineChange& change : aEvents.engineChanges) {
    EngineHistory& history = histories[change.backend];
    const auto [entry, isNew] =
      history.firstSeenAt.try_emplace(change.stage, change.at);
    if (!isNew) {
      entry->second = std::min(entry->second, change.at);
    }
    if (!change.service.empty()) {
      history.service = change.service;
    }
  }
  return histories;
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
SloOutcomeOf(const RequestRecord& aRequest)
{
  if (aRequest.status == 0) {
    return SloOutcome::eNotCounted;
  }
  if (aRequest.status == kTooManyRequests ||
      aRequest.status == kServiceUnavailable) {
    return SloOutcome::eRefused;
  }
  if (aRequest.status >= kServerError ||
      Contains(aRequest.reason, "stream cut")) {
    return SloOutcome::eFailed;
  }
  if (aRequest.status != kOk) {
    return SloOutcome::eNotCounted;
  }
  const bool late = aRequest.firstTokenTargetMs > 0 &&
                    aRequest.firstTokenMs > aRequest.firstTokenTargetMs;
  const bool paused = aRequest.tokenGapTargetMs > 0 &&
                      aRequest.maxTokenGapMs > aRequest.tokenGapTargetMs;
  return late || paused ? SloOutcome::eLate : SloOutcome::eOnTime;
}

SloMissReason
SloMissReasonOf(const RequestRecord& aRequest,
                SloOutcome aOutcome,
                const EngineHistories& aHistories,
                const FirstFailedSends& aSends)
{
  if (aOutcome == SloOutcome::eRefused) {
    if (const auto reason = RefusalReason(aRequest)) {
      return *reason;
    }
  }
  const auto sent = aSends.find(aRequest.request);
  const std::string& backend =
    sent == aSends.end() ? aRequest.backend : sent->second.backend;
  if (const auto reason = EngineReason(aHistories, backend, aRequest.endedAt)) {
    return *reason;
  }
  const std::string& why =
    sent == aSends.end() ? aRequest.reason : sent->second.reason;
  if (IsTimeout(why)) {
    return SloMissReason::eEngineHung;
  }
  if (sent != aSends.end() || aOutcome == SloOutcome::eFailed) {
    return SloMissReason::eEngineFailed;
  }
  return aOutcome == SloOutcome::eLate ? LateResponseReason(aRequest)
                                       : SloMissReason::eUnexplained;
}

} // namespace toucanshed
