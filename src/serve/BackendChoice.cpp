// How RequestForwarder chooses the back end of a send and gets the permit for
// it. RequestForwarder.cpp has the sends and what the caller gets.
#include "RequestForwarder.h"

#include "EngineDemand.h"
#include "PeerMessenger.h"
#include "ServingState.h"
#include "base/Hash.h"
#include "edge/Worker.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** How long a request looks for a back end with room within its warm-up bound:
 * this fraction of its latency target, and no longer than this. */
constexpr double kPermitTimeTargets = 0.5;
constexpr Millis kMaxPermitTime{ 250 };

} // namespace

Placer&
RequestForwarder::ServicePlacer()
{
  const ServiceId& service = this->request.service;
  return this->state.placers.try_emplace(service, this->state.settings.zone)
    .first->second;
}

std::optional<Placement>
RequestForwarder::ChooseBackend(
  const std::function<bool(const Backend&)>& aIsEligible)
{
  PlacementRequest placementRequest;
  placementRequest.prompt = this->request.incoming.prompt;
  placementRequest.triedBackends = this->triedBackends;
  placementRequest.cachedBackends = this->state.prefixCacheIndex.CachedBackends(
    SharedSectionId(placementRequest.prompt), ServingState::Now());
  this->state.CheckForPause();
  const TimePoint now = ServingState::Now();
  this->AddCapacityInputs(placementRequest, this->Traits(), now);
  SendChoice choice =
    this->state.sendGate.Choose(this->request.service, this->isAllowed, now);
  this->wait = choice.wait;
  this->waitReason = choice.waitReason;
  this->allRefused = choice.backends.empty();
  if (aIsEligible) {
    std::erase_if(choice.backends, [&](const Backend* aBackend) {
      return !aIsEligible(*aBackend);
    });
  }
  placementRequest.rateLimited = std::move(choice.limited);
  placementRequest.leastBusy =
    this->state.crashSuspects
      .TrialNeeded(this->request.suspects, this->state.ClusterNow())
      .has_value();
  return this->ServicePlacer().Choose(
    choice.backends, placementRequest, this->Traits(), now);
}

void
RequestForwarder::AddCapacityInputs(PlacementRequest& aRequest,
                                    const EngineTraits* aTraits,
                                    TimePoint aNow)
{
  constexpr int kMeanAgeParts = 2; // a report's age is half an interval
  const ServiceId& service = this->request.service;
  Placer& placer = this->ServicePlacer();
  aRequest.memoryTokens = this->HeldTokens();
  const std::size_t daemons = this->state.DaemonCount();
  const bool knowsSends = daemons <= PeerMessenger::kMaxNoticeDaemons;
  if (!knowsSends) {
    aRequest.loadAge =
      LoadAge(PeerMessenger::MeanInterval(daemons) / kMeanAgeParts);
    aRequest.spreadKey = Hash64(this->request.incoming.attempt.value);
  }
  if (aTraits == nullptr) {
    return;
  }
  if (placer.ArePoolsDue(aNow)) {
    placer.AdoptSpeed(this->state.peers.UsualSpeed(service, aNow));
    placer.UpdatePools(this->state.backends.ForService(service),
                       knowsSends ? std::nullopt
                                  : LongPromptShare(this->state, service, aNow),
                       aNow);
  }
  aRequest.isLong = this->HasLongPrompt();
}

bool
RequestForwarder::IsRegionAllowed(const ZoneId& aZone) const
{
  const std::set<RegionId>& routeRegions = this->request.route->allowedRegions;
  const Team* team = this->request.team;
  const bool isFree =
    routeRegions.empty() && (team == nullptr || team->allowedRegions.empty());
  if (isFree) {
    return true;
  }
  const auto region = this->state.settings.regionOfZone.find(aZone);
  if (region == this->state.settings.regionOfZone.end()) {
    return false;
  }
  const auto allows = [&](const std::set<RegionId>& aAllowed) {
    return aAllowed.empty() || aAllowed.contains(region->second);
  };
  return allows(routeRegions) &&
         (team == nullptr || allows(team->allowedRegions));
}

DeferralInput
RequestForwarder::MakeDeferralInput(const Placement& aPlacement)
{
  return DeferralInput{ ServingState::Now() - this->request.arrived,
                        this->request.route->latencyTarget,
                        this->TimeLeft(),
                        aPlacement.expectedMs,
                        aPlacement.prefillMs,
                        aPlacement.queuedTokens == 0 };
}

DeferralDecision
RequestForwarder::DecideDeferral(const Placement& aPlacement)
{
  const bool hasPrompt = !this->request.incoming.prompt.empty();
  if (!hasPrompt || this->sends > 0) {
    return DeferralDecision::eSend; // deferred only before its first send
  }
  return DeferralPolicy::Decide(this->MakeDeferralInput(aPlacement));
}

Millis
RequestForwarder::PermitTimeLeft()
{
  const TimePoint now = ServingState::Now();
  if (!this->permitDeadline) {
    const auto targets = Millis(static_cast<std::int64_t>(
      kPermitTimeTargets *
      static_cast<double>(this->request.route->latencyTarget.count())));
    this->permitDeadline = now + std::min(targets, kMaxPermitTime);
  }
  return *this->permitDeadline - now;
}

Task<bool>
RequestForwarder::AcquirePermit(InstanceId aBackend)
{
  this->permitUntil.reset();
  const Backend* backend = this->state.backends.Find(aBackend);
  if (backend == nullptr) {
    co_return true; // it has gone since it was chosen, which the gate finds
  }
  const TimePoint now = ServingState::Now();
  WarmupLimits& limits = this->state.warmupLimits;
  const PermitSource source = limits.SourceOf(*backend, now);
  if (source.kind == PermitSource::Kind::eNone) {
    co_return true;
  }
  const TimePoint validUntil =
    ServingState::BootTime() + WarmupLimits::kPermitValidity;
  PermitDecision decision;
  if (source.kind == PermitSource::Kind::eLocal) {
    decision = limits.Grant(*backend, false, now);
  } else {
    decision = co_await this->state.requestPermit(aBackend, source.owner);
    backend = this->state.backends.Find(aBackend);
  }
  if (decision.ownerStarting && backend != nullptr) {
    decision = limits.GrantEqualPart(*backend, ServingState::Now());
  }
  if (!decision.granted) {
    limits.RecordRefusal(aBackend, ServingState::Now() + decision.retryAfter);
    co_return false;
  }
  this->permitUntil = validUntil;
  co_return true;
}

} // namespace toucanshed
