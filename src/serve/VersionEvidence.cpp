// What RequestForwarder records about the versions of back ends during a
// rollout.
#include "RequestForwarder.h"

#include "ServingState.h"

namespace toucanshed {

void
RequestForwarder::RecordExposure()
{
  const Rollout* rollout = this->state.rollouts.Find(this->request.service);
  const Backend* backend =
    this->state.backends.Find(this->lastPlacement->backend);
  const bool counts = rollout != nullptr && backend != nullptr &&
                      rollout->phase == RolloutPhase::eActive;
  if (counts) {
    this->state.exposure.RecordSend(
      rollout->order, backend->entry.version == rollout->order.target);
  }
}

void
RequestForwarder::StartEvidence(const InstanceId& aBackend)
{
  const Rollout* rollout = this->state.rollouts.Find(this->request.service);
  const Backend* backend = this->state.backends.Find(aBackend);
  const bool counts = rollout != nullptr && backend != nullptr &&
                      rollout->phase == RolloutPhase::eActive;
  this->observed.reset();
  if (counts) {
    this->observed =
      this->state.evidence.Start(rollout->order.position,
                                 backend->entry.version,
                                 Stratum{ 0, this->request.route->name },
                                 this->sentAt);
  }
}

void
RequestForwarder::RecordFirstTokenEvidence(const InstanceId& aBackend,
                                           TimePoint aNow)
{
  if (!this->observed) {
    return;
  }
  this->state.evidence.RecordFirstToken(*this->observed, aNow);
  const Rollout* rollout = this->state.rollouts.Find(this->request.service);
  const Backend* backend = this->state.backends.Find(aBackend);
  const bool isTarget = rollout != nullptr && backend != nullptr &&
                        backend->entry.version == rollout->order.target;
  if (isTarget) {
    this->state.sendEvidence();
  }
}

void
RequestForwarder::StopEvidence(SendOutcome aOutcome)
{
  if (this->observed) {
    const bool wasSent = aOutcome != SendOutcome::eNotRun;
    this->state.evidence.Stop(*this->observed, wasSent, ServingState::Now());
  }
}

void
RequestForwarder::RecordEvidence(const InstanceId& aBackend,
                                 SendOutcome aOutcome)
{
  const Rollout* rollout = this->state.rollouts.Find(this->request.service);
  const Backend* backend = this->state.backends.Find(aBackend);
  const bool counts = rollout != nullptr &&
                      rollout->phase == RolloutPhase::eActive &&
                      backend != nullptr && aOutcome != SendOutcome::eNotRun &&
                      aOutcome != SendOutcome::eCallerDisconnected;
  if (!counts) {
    return;
  }
  Observation observation;
  observation.error =
    aOutcome != SendOutcome::eResponded || this->responseFailed;
  const bool isRecorded = this->observed.has_value();
  if (this->responseStarted && !isRecorded) {
    observation.firstTokenMs =
      static_cast<double>((this->responseStartedAt - this->sentAt).count());
  }
  if (this->splitter.ReturnedCount() > 1) {
    const Millis duration = ServingState::Now() - this->responseStartedAt;
    observation.meanGapMs =
      static_cast<double>(duration.count()) /
      static_cast<double>(this->splitter.ReturnedCount() - 1);
  }
  this->state.evidence.Observe(rollout->order.position,
                               backend->entry.version,
                               Stratum{ 0, this->request.route->name },
                               observation);
  if (backend->entry.version == rollout->order.target) {
    this->state.sendEvidence();
  }
}

} // namespace toucanshed
