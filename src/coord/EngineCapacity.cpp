#include "EngineCapacity.h"

#include "BackendTable.h"
#include "Catalog.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {

double
Blend(std::int64_t aReported, double aAverage, const LoadAge& aAge)
{
  return aAge.fresh * static_cast<double>(aReported) +
         (1 - aAge.fresh) * aAverage;
}

double
RunningOn(const Backend& aBackend, const LoadAge& aAge)
{
  return std::max(
    0.0,
    static_cast<double>(aBackend.localLoad.running) +
      Blend(aBackend.remoteLoad.running, aBackend.usualRemote.running, aAge));
}

} // namespace

LoadAge::LoadAge(Millis aMean)
{
  // An engine prefills what waits there within about this time.
  constexpr double kBacklogMs = 300;
  this->fresh = std::exp(-static_cast<double>(aMean.count()) / kBacklogMs);
}

unsigned
BelievedSlots(const Backend& aBackend, TimePoint aNow)
{
  const unsigned reported = std::max(1U, aBackend.entry.slots);
  return aNow < aBackend.slotsBoundUntil
           ? std::clamp(aBackend.slotsBound, 1U, reported)
           : reported;
}

EngineCapacity
EstimateCapacity(const Backend& aBackend,
                 const EngineSpeed& aUsual,
                 const EngineTraits* aTraits,
                 const LoadAge& aAge,
                 double aUsualTokens,
                 TimePoint aNow)
{
  EngineCapacity capacity;
  const double slots = BelievedSlots(aBackend, aNow);
  const double running = RunningOn(aBackend, aAge);
  capacity.fill = running / slots;
  capacity.freeSlots = std::max(0.0, slots - running);
  capacity.queued = std::max(0.0, running - slots);
  capacity.aheadTokens =
    std::max(0.0,
             static_cast<double>(aBackend.localLoad.promptTokens) +
               Blend(aBackend.remoteLoad.promptTokens,
                     aBackend.usualRemote.promptTokens,
                     aAge));
  capacity.msPerPromptToken =
    aBackend.speed.PrefillFactor() / aUsual.promptTokensPerMs;
  capacity.prefillAheadMs = capacity.aheadTokens * capacity.msPerPromptToken;
  // Each running request makes every decoding step a little longer.
  capacity.stepMs =
    aBackend.speed.StepFactor() * aUsual.outputTokenMs * (1 + capacity.fill);
  const bool hasMemory = aTraits != nullptr && aTraits->memoryTokens > 0;
  if (hasMemory) {
    const double remote =
      running - static_cast<double>(aBackend.localLoad.running);
    capacity.freeTokens = std::max(0.0,
                                   static_cast<double>(aTraits->memoryTokens) -
                                     static_cast<double>(aBackend.heldTokens) -
                                     std::max(0.0, remote) * aUsualTokens);
  }
  return capacity;
}

double
PlainResponseMs(const Backend& aBackend,
                const LoadAge& aAge,
                double aUsualMs,
                TimePoint aNow)
{
  const double slots = BelievedSlots(aBackend, aNow);
  const double running = RunningOn(aBackend, aAge);
  // Below this, differences come from the network and this daemon. If they
  // counted, a back end that is not used would stay unused.
  constexpr double kMinMs = 25;
  double responseMs =
    std::max(kMinMs, aBackend.speed.ResponseMs(aUsualMs, aNow));
  if (aBackend.localLoad.running > 0) {
    // It has sent nothing for so long although requests wait there.
    const auto silence =
      static_cast<double>((aNow - aBackend.lastProgressAt).count());
    responseMs = std::max(responseMs, silence);
  }
  // Requests that run at once also slow each other down a little.
  constexpr double kSharedShare = 0.5;
  const double fill = std::min(1.0, running / slots);
  const double waits = std::max(0.0, running + 1 - slots) / slots;
  return responseMs * (1 + kSharedShare * fill + waits);
}

} // namespace toucanshed
