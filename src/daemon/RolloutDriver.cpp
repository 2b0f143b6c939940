#include "RolloutDriver.h"

#include "base/Hash.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr Millis kPollInterval{ 250 };
constexpr Millis kRollbackFactRetention{ 24 * 3600 * 1000 };
/** A proposal that is not applied after this time is made again. */
constexpr Millis kProposalRetryInterval{ 3000 };

/** This daemon's data about a rollout between two polls. */
struct StepProgress
{
  std::uint32_t step = 0;
  TimePoint stepStartedAt;
  std::uint64_t requestsAtStart = 0;
  TimePoint lastProposedAt;
};

using ProgressByRollout = std::map<Position, StepProgress>;

void
QueueProposal(DaemonState& aState, records::Record aRecord)
{
  aState.control.WithLock(
    [&](ControlReader& aReader) { aReader.Queue().Add(std::move(aRecord)); });
  aState.appendRequested.NotifyAll();
}

records::Record
MakeEndRecord(const RunningRollout& aRollout,
              bool aRolledBack,
              const std::string& aReason)
{
  records::Record record;
  records::RolloutEnd* end = record.mutable_move_end();
  end->set_move(aRollout.state.rollout.value);
  end->set_taken_back(aRolledBack);
  end->set_reason(aReason);
  return record;
}

records::Record
MakeStepRecord(const RunningRollout& aRollout)
{
  records::Record record;
  records::RolloutStep* step = record.mutable_move_step();
  step->set_move(aRollout.state.rollout.value);
  step->set_step(aRollout.state.step + 1);
  return record;
}

VersionVerdict
CompareRolloutVersions(DaemonState& aState, const RunningRollout& aRollout)
{
  return aState.evidence.WithLock([&](EvidenceTable& aEvidence) {
    const Position rollout = aRollout.state.rollout;
    return CompareVersions(
      aEvidence.Sum(rollout, aRollout.state.from, aState.Now()),
      aEvidence.Sum(rollout, aRollout.state.to, aState.Now()),
      VersionComparisonLimits{});
  });
}

StepProgress&
ProgressOf(ProgressByRollout& aProgressByRollout,
           const RunningRollout& aRollout,
           std::uint64_t aRequests,
           TimePoint aNow)
{
  const auto [progress, inserted] =
    aProgressByRollout.try_emplace(aRollout.state.rollout);
  if (inserted || progress->second.step != aRollout.state.step) {
    progress->second =
      StepProgress{ aRollout.state.step, aNow, aRequests, TimePoint{} };
  }
  return progress->second;
}

void
RollBack(DaemonState& aState,
         const RunningRollout& aRollout,
         const std::string& aReason)
{
  // The fact stops the traffic to the new version immediately, at this daemon
  // and at every peer that it reaches. The record ends the rollout permanently
  // once it is in the log.
  const bool isNew =
    aState.PublishFact(FactEntry{ RollbackFact(aRollout.state.rollout, aReason),
                                  aState.Now() + kRollbackFactRetention });
  if (isNew) {
    aState.events.Emit(Event("move.taken_back")
                         .With("move", aRollout.state.rollout.value)
                         .With("service", aRollout.state.service)
                         .With("version", aRollout.state.to)
                         .With("reason", aReason));
  }
}

void
DriveRollout(DaemonState& aState,
             const RunningRollout& aRollout,
             ProgressByRollout& aProgressByRollout)
{
  const TimePoint now = aState.Now();
  RolloutPlanInput input;
  input.state = aRollout.state;
  input.spec = aRollout.spec;
  input.verdict = CompareRolloutVersions(aState, aRollout);
  StepProgress& progress =
    ProgressOf(aProgressByRollout, aRollout, input.verdict.requests, now);
  input.stepStartedAt = progress.stepStartedAt;
  input.stepRequests = input.verdict.requests - progress.requestsAtStart;
  if (const auto reason = RollbackReason(aState, aRollout.state.rollout)) {
    input.verdict.bad = true;
    input.verdict.reason = *reason;
  }
  const RolloutProposal proposal = PlanRollout(input, now);
  const auto owners = RolloutOwners(
    aRollout, aState.membership.WithLock([](Membership& aMembers) {
      return aMembers.EligibleOwners();
    }));
  const bool isOwner =
    std::find(owners.begin(), owners.end(), aState.settings.id.value) !=
    owners.end();
  // The evidence of one daemon may be enough to find a version bad. Only the
  // owners, which collect the evidence of all daemons, can find that there is
  // too little of it.
  const bool mayRollBack = input.verdict.bad || isOwner;
  if (proposal.action == RolloutAction::eRollBack && mayRollBack) {
    RollBack(aState, aRollout, proposal.reason);
  }
  const bool proposalDue =
    now - progress.lastProposedAt >= kProposalRetryInterval;
  if (!isOwner || !proposalDue || proposal.action == RolloutAction::eWait) {
    return;
  }
  progress.lastProposedAt = now;
  switch (proposal.action) {
    case RolloutAction::eAdvance:
      QueueProposal(aState, MakeStepRecord(aRollout));
      break;
    case RolloutAction::eRollBack:
      QueueProposal(aState, MakeEndRecord(aRollout, true, proposal.reason));
      break;
    case RolloutAction::eDone:
      QueueProposal(aState, MakeEndRecord(aRollout, false, "soaked"));
      break;
    case RolloutAction::eWait:
      break;
  }
}

/** Emits an event for each rollout that has ended since the last poll. */
void
ReportEnded(DaemonState& aState, ProgressByRollout& aProgressByRollout)
{
  std::vector<RolloutState> ended;
  aState.control.WithLock([&](ControlReader& aReader) {
    for (const auto& [position, rollout] :
         aReader.Table().RolloutsByRevision()) {
      if (rollout.status != RolloutStatus::eRunning &&
          aProgressByRollout.count(position) != 0) {
        ended.push_back(rollout);
      }
    }
  });
  for (const RolloutState& rollout : ended) {
    aProgressByRollout.erase(rollout.rollout);
    aState.evidence.WithLock(
      [&](EvidenceTable& aEvidence) { aEvidence.Erase(rollout.rollout); });
    aState.events.Emit(Event("move.ended")
                         .With("move", rollout.rollout.value)
                         .With("service", rollout.service)
                         .With("version", rollout.to)
                         .With("status", ToText(rollout.status))
                         .With("reason", rollout.reason));
  }
}

} // namespace

std::vector<RunningRollout>
RunningRollouts(DaemonState& aState)
{
  std::vector<RunningRollout> rollouts;
  aState.control.WithLock([&](ControlReader& aReader) {
    const ControlTable& table = aReader.Table();
    for (const auto& [service, entry] : table.Services()) {
      if (const RolloutState* running = table.FindRunningRollout(service)) {
        rollouts.push_back(RunningRollout{ *running, entry.document.move() });
      }
    }
  });
  return rollouts;
}

std::vector<std::string>
RolloutOwners(const RunningRollout& aRollout,
              const std::vector<std::string>& aDaemons)
{
  const std::string key = std::to_string(aRollout.state.rollout.value);
  std::vector<std::string> remaining = aDaemons;
  std::vector<std::string> owners;
  constexpr std::size_t kOwners = 2;
  while (!remaining.empty() && owners.size() < kOwners) {
    owners.push_back(RendezvousOwner(key, remaining));
    std::erase(remaining, owners.back());
  }
  return owners;
}

Task<void>
DriveRollouts(DaemonState& aState)
{
  ProgressByRollout progressByRollout;
  while (true) {
    for (const RunningRollout& rollout : RunningRollouts(aState)) {
      DriveRollout(aState, rollout, progressByRollout);
    }
    ReportEnded(aState, progressByRollout);
    co_await Sleep(kPollInterval);
  }
}

} // namespace toucanshed
