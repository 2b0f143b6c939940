// The part of RequestForwarder that records what sends and responses show of
// the engines' capacity; BackendChoice.cpp uses it.
#include "RequestForwarder.h"

#include "ServingState.h"
#include "coord/OutputEstimate.h"

#include <algorithm>

namespace toucanshed {

const EngineTraits*
RequestForwarder::Traits() const
{
  const ServiceSpec* spec =
    this->request.catalog->FindService(this->request.service);
  return spec != nullptr && spec->engine ? &*spec->engine : nullptr;
}

bool
RequestForwarder::ExceedsEngineMemory() const
{
  const EngineTraits* traits = this->Traits();
  return traits != nullptr && traits->memoryTokens > 0 &&
         TotalTokens(this->request.incoming.prompt) > traits->memoryTokens;
}

bool
RequestForwarder::HasLongPrompt()
{
  return this->state.HasLongPrompt(this->request.service,
                                   TotalTokens(this->request.incoming.prompt));
}

std::uint64_t
RequestForwarder::ExpectedOutput()
{
  return ExpectedOutputTokens(
    this->request.incoming.lengthHint,
    this->request.incoming.maxOutputTokens,
    this->ServicePlacer().UsualOutput(this->request.Priority()));
}

std::uint64_t
RequestForwarder::HeldTokens()
{
  return TotalTokens(this->request.incoming.prompt) + this->ExpectedOutput();
}

void
RequestForwarder::RecordSentWork()
{
  const EngineTraits* traits = this->Traits();
  if (traits == nullptr) {
    return;
  }
  this->ServicePlacer().RecordMemory(this->HeldTokens());
}

void
RequestForwarder::RecordSlotRejection(const BackendResponseHead& aHead)
{
  // Engines also reject because they leave, rest or are rate-limited.
  const bool forOtherReason = aHead.leaving || aHead.rest || aHead.limit.rate ||
                              aHead.rejectionLimit.rate;
  if (!forOtherReason) {
    this->state.backends.RecordSlotRejection(this->ticket.backend,
                                             ServingState::Now());
  }
}

void
RequestForwarder::RecordSpeed(const Placement& aPlacement, TimePoint aNow)
{
  const auto elapsedMs = static_cast<double>((aNow - this->sentAt).count());
  this->eventsAtStart = this->splitter.ReturnedCount();
  // A response that is no stream begins when its last token is written.
  const bool isWhole = this->eventsAtStart == 0 && this->Traits() != nullptr;
  double usualMs = aPlacement.usualMs;
  if (isWhole) {
    usualMs +=
      static_cast<double>(this->ExpectedOutput()) * aPlacement.usualStepMs;
  } else {
    this->ServicePlacer().RecordResponseStart(aPlacement, elapsedMs);
  }
  this->state.backends.RecordResponseStart(
    aPlacement.backend, elapsedMs, usualMs, aPlacement.knowsQueue, aNow);
}

void
RequestForwarder::RecordOutput(const Placement& aPlacement)
{
  constexpr std::uint64_t kMinEvents = 5; // fewer say little about the pace
  const EngineTraits* traits = this->Traits();
  const std::uint64_t returned = this->splitter.ReturnedCount();
  if (traits == nullptr || returned < this->eventsAtStart + kMinEvents) {
    return;
  }
  const unsigned perEvent = std::max(1U, traits->tokensPerEvent);
  Placer& placer = this->ServicePlacer();
  placer.RecordOutput(this->request.Priority(), returned * perEvent);
  const auto spanMs =
    static_cast<double>((this->lastEventAt - this->responseStartedAt).count());
  const auto tokens =
    static_cast<double>((returned - this->eventsAtStart) * perEvent);
  placer.RecordSteps(aPlacement, spanMs / tokens);
  this->state.backends.RecordSteps(
    aPlacement.backend, spanMs / tokens, aPlacement.usualStepMs);
}

} // namespace toucanshed
