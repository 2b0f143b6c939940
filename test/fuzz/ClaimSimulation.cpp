#include "ClaimSimulation.h"

namespace toucanshed::test {

namespace {

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kKeys = 2;
constexpr Millis kWindow{ 60000 };
constexpr std::int64_t kStart = 1000000;

} // namespace

ClaimSimulation::ClaimSimulation(ClaimMutant aMutant)
  : mutant(aMutant)
  , now{ kStart }
  , daemons(kDaemons)
{
  for (std::size_t i = 0; i < kKeys; ++i) {
    const std::string name =
      "crews/jobdesk/" + std::to_string(kStart / 1000) + "-";
    this->keys.push_back(
      Key{ IdempotencyKey{ name + std::to_string(i) }, 0, {} });
  }
  for (Daemon& daemon : this->daemons) {
    this->RestartDaemon(daemon);
  }
}

void
ClaimSimulation::RestartDaemon(Daemon& aDaemon)
{
  // A new incarnation has only what the log holds. The executions of the old
  // one stay counted per key, but its attempts take no further step.
  const WriterId writer{ "daemon/" + std::to_string(++this->lastId) };
  aDaemon.claims = std::make_unique<ClaimCoordinator>(writer, kWindow);
  aDaemon.batchesRead = 0;
  aDaemon.attempts.clear();
}

void
ClaimSimulation::TryClaim(Daemon& aDaemon, const ClaimStep& aStep)
{
  const std::size_t key = aStep.index % kKeys;
  Attempt attempt;
  attempt.id = AttemptId{ "a" + std::to_string(++this->lastId) };
  attempt.key = key;
  const KeyStatus keyStatus = aDaemon.claims->TryClaim(
    this->keys[key].id, Fingerprint{ 7 }, attempt.id, this->now);
  if (keyStatus == KeyStatus::eClaiming) {
    aDaemon.attempts.push_back(attempt);
  } else if (keyStatus == KeyStatus::eOutcomeRecorded) {
    this->CheckReplay(aDaemon, this->keys[key]);
  }
}

void
ClaimSimulation::CheckReplay(const Daemon& aDaemon, const Key& aKey)
{
  const ClaimEntry* entry = aDaemon.claims->Table().Find(aKey.id);
  const ClaimOutcome& outcome = *entry->outcome;
  if (!outcome.unclear && outcome.body != aKey.response) {
    this->violation =
      "a repeated key got a response that is not the back end's";
  }
}

void
ClaimSimulation::SendBatch(Daemon& aDaemon, const ClaimStep& aStep)
{
  const auto batch = aDaemon.claims->Queue().NextToSend();
  if (!batch) {
    return;
  }
  switch (aStep.variant % 4) {
    case 0: // committed and confirmed
      this->log.push_back(*batch);
      aDaemon.claims->Queue().MarkCommitted(batch->sequence());
      return;
    case 1: // committed, but the reply is lost
      this->log.push_back(*batch);
      break;
    case 2: // committed later, or never
      this->delayedBatches.push_back(*batch);
      break;
    default: // the log is unavailable
      break;
  }
  aDaemon.claims->Queue().AllowResend();
}

void
ClaimSimulation::LandDelayedBatch(const ClaimStep& aStep)
{
  if (this->delayedBatches.empty()) {
    return;
  }
  const std::size_t index = aStep.index % this->delayedBatches.size();
  this->log.push_back(this->delayedBatches[index]);
  this->delayedBatches.erase(this->delayedBatches.begin() +
                             static_cast<std::ptrdiff_t>(index));
}

void
ClaimSimulation::ReadLog(Daemon& aDaemon, const ClaimStep& aStep)
{
  const std::size_t end =
    std::min(this->log.size(), aDaemon.batchesRead + 1 + aStep.variant % 8);
  for (; aDaemon.batchesRead < end; ++aDaemon.batchesRead) {
    aDaemon.claims->Apply(aDaemon.batchesRead + 1,
                          this->log[aDaemon.batchesRead]);
  }
}

void
ClaimSimulation::Execute(Attempt& aAttempt)
{
  Key& key = this->keys[aAttempt.key];
  aAttempt.sent = true;
  ++aAttempt.executions;
  ++key.executions;
  ++this->executions;
  key.response = "response to " + aAttempt.id.value;
  if (key.executions > 1) {
    this->violation = "a non-repeatable request ran twice";
  }
  if (aAttempt.reportedNotRun) {
    this->violation = "a request ran after it was reported as \"not run\"";
  }
}

void
ClaimSimulation::Dispatch(Daemon& aDaemon, Attempt& aAttempt)
{
  const auto phase = aDaemon.claims->PhaseOf(aAttempt.id);
  const bool early = this->mutant == ClaimMutant::eDispatchBeforeReadBack &&
                     phase == ClaimPhase::eClaiming && !aAttempt.sent;
  const bool late = this->mutant == ClaimMutant::eDispatchAfterAbandon &&
                    phase == ClaimPhase::eAbandoned && !aAttempt.sent;
  if (early || late || aDaemon.claims->Dispatch(aAttempt.id, this->now)) {
    this->Execute(aAttempt);
  }
}

void
ClaimSimulation::EndAttempt(Daemon& aDaemon,
                            Attempt& aAttempt,
                            const ClaimStep& aStep)
{
  if (aDaemon.claims->PhaseOf(aAttempt.id) != ClaimPhase::eRunning) {
    return;
  }
  if (aStep.variant % 2 == 0) {
    ClaimOutcome outcome;
    outcome.status = 200;
    outcome.body = "response to " + aAttempt.id.value;
    aDaemon.claims->Complete(aAttempt.id, outcome);
    return;
  }
  aDaemon.claims->MarkUnclear(aAttempt.id);
  if (this->mutant == ClaimMutant::eResendAfterUnclear) {
    this->Execute(aAttempt);
  }
}

void
ClaimSimulation::AbandonAttempt(Daemon& aDaemon, Attempt& aAttempt)
{
  if (aDaemon.claims->Abandon(aAttempt.id)) {
    aAttempt.reportedNotRun = true;
    if (aAttempt.executions > 0) {
      this->violation = "a request that had run was reported as \"not run\"";
    }
  }
}

void
ClaimSimulation::RunStep(const ClaimStep& aStep)
{
  Daemon& daemon = this->daemons[aStep.daemon % kDaemons];
  Attempt* attempt = daemon.attempts.empty()
                       ? nullptr
                       : &daemon.attempts[aStep.index % daemon.attempts.size()];
  switch (aStep.kind % 12) {
    case 0:
    case 1:
      this->TryClaim(daemon, aStep);
      break;
    case 2:
    case 3:
      this->SendBatch(daemon, aStep);
      break;
    case 4:
    case 5:
      this->ReadLog(daemon, aStep);
      break;
    case 6:
      this->LandDelayedBatch(aStep);
      break;
    case 7:
    case 8:
      if (attempt != nullptr) {
        this->Dispatch(daemon, *attempt);
      }
      break;
    case 9:
      if (attempt != nullptr) {
        this->EndAttempt(daemon, *attempt, aStep);
      }
      break;
    case 10:
      if (attempt != nullptr) {
        this->AbandonAttempt(daemon, *attempt);
      }
      break;
    default:
      // One variant in four replaces a daemon; the others advance the time.
      if (aStep.variant % 4 == 0) {
        this->RestartDaemon(daemon);
      } else {
        this->now = this->now + Millis(aStep.variant * 40);
      }
      break;
  }
}

} // namespace toucanshed::test
