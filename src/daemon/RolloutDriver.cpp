#include "RolloutDriver.h"

#include "base/Hash.h"

#include <algorithm>

namespace toucanshed {

namespace {

constexpr Millis kPollInterval{ 250 };
constexpr Millis kRollbackFactRetention{ 24 * 3600 * 1000 };
/** A proposal that has not been folded after this time is made again. */
constexpr Millis kProposalRetryInterval{ 3000 };

/** What this daemon remembers of a move between looks. */
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
MakeEndRecord(const RunningRollout& aMove,
              bool aTakenBack,
              const std::string& aReason)
{
  records::Record record;
  records::RolloutEnd* end = record.mutable_move_end();
  end->set_move(aMove.state.rollout.value);
  end->set_taken_back(aTakenBack);
  end->set_reason(aReason);
  return record;
}

records::Record
MakeStepRecord(const RunningRollout& aMove)
{
  records::Record record;
  records::RolloutStep* step = record.mutable_move_step();
  step->set_move(aMove.state.rollout.value);
  step->set_step(aMove.state.step + 1);
  return record;
}

VersionVerdict
CompareRolloutVersions(DaemonState& aState, const RunningRollout& aMove)
{
  return aState.evidence.WithLock([&](EvidenceTable& aEvidence) {
    const Position move = aMove.state.rollout;
    return CompareVersions(aEvidence.Sum(move, aMove.state.from),
                           aEvidence.Sum(move, aMove.state.to),
                           VersionComparisonLimits{});
  });
}

StepProgress&
ProgressOf(ProgressByRollout& aWatches,
           const RunningRollout& aMove,
           std::uint64_t aRequests,
           TimePoint aNow)
{
  const auto [watch, fresh] = aWatches.try_emplace(aMove.state.rollout);
  if (fresh || watch->second.step != aMove.state.step) {
    watch->second =
      StepProgress{ aMove.state.step, aNow, aRequests, TimePoint{} };
  }
  return watch->second;
}

void
RollBack(DaemonState& aState,
         const RunningRollout& aMove,
         const std::string& aReason)
{
  // The fact stops the traffic here and at every peer it reaches, now; the
  // record makes it the move's end for good once the log takes it.
  const bool news =
    aState.PublishFact(FactEntry{ RollbackFact(aMove.state.rollout, aReason),
                                  aState.Now() + kRollbackFactRetention });
  if (news) {
    aState.events.Emit(Event("move.taken_back")
                         .With("move", aMove.state.rollout.value)
                         .With("service", aMove.state.service)
                         .With("version", aMove.state.to)
                         .With("reason", aReason));
  }
}

void
DriveRollout(DaemonState& aState,
             const RunningRollout& aMove,
             ProgressByRollout& aWatches)
{
  const TimePoint now = aState.Now();
  RolloutPlanInput outlook;
  outlook.state = aMove.state;
  outlook.spec = aMove.spec;
  outlook.finding = CompareRolloutVersions(aState, aMove);
  StepProgress& watch =
    ProgressOf(aWatches, aMove, outlook.finding.requests, now);
  outlook.stepStartedAt = watch.stepStartedAt;
  outlook.stepRequests = outlook.finding.requests - watch.requestsAtStart;
  if (const auto reason = RollbackReason(aState, aMove.state.rollout)) {
    outlook.finding.bad = true;
    outlook.finding.reason = *reason;
  }
  const RolloutProposal decision = PlanRollout(outlook, now);
  const auto owners =
    RolloutOwners(aMove, aState.membership.WithLock([](Membership& aMembers) {
      return aMembers.EligibleOwners();
    }));
  const bool mine =
    std::find(owners.begin(), owners.end(), aState.settings.id.value) !=
    owners.end();
  // What a daemon has seen itself may be enough to find a version bad; that
  // the evidence is too little can only be said by those who gather it all.
  const bool sure = outlook.finding.bad || mine;
  if (decision.action == RolloutAction::eRollBack && sure) {
    RollBack(aState, aMove, decision.reason);
  }
  const bool due = now - watch.lastProposedAt >= kProposalRetryInterval;
  if (!mine || !due || decision.action == RolloutAction::eWait) {
    return;
  }
  watch.lastProposedAt = now;
  switch (decision.action) {
    case RolloutAction::eAdvance:
      QueueProposal(aState, MakeStepRecord(aMove));
      break;
    case RolloutAction::eRollBack:
      QueueProposal(aState, MakeEndRecord(aMove, true, decision.reason));
      break;
    case RolloutAction::eDone:
      QueueProposal(aState, MakeEndRecord(aMove, false, "soaked"));
      break;
    case RolloutAction::eWait:
      break;
  }
}

/** Tells of moves that have ended since the last look, once each. */
void
ReportEnded(DaemonState& aState, ProgressByRollout& aWatches)
{
  std::vector<RolloutState> ended;
  aState.control.WithLock([&](ControlReader& aReader) {
    for (const auto& [position, move] : aReader.Table().RolloutsByRevision()) {
      if (move.status != RolloutStatus::eRunning &&
          aWatches.count(position) != 0) {
        ended.push_back(move);
      }
    }
  });
  for (const RolloutState& move : ended) {
    aWatches.erase(move.rollout);
    aState.evidence.WithLock(
      [&](EvidenceTable& aEvidence) { aEvidence.Erase(move.rollout); });
    aState.events.Emit(Event("move.ended")
                         .With("move", move.rollout.value)
                         .With("service", move.service)
                         .With("version", move.to)
                         .With("status", ToText(move.status))
                         .With("reason", move.reason));
  }
}

} // namespace

std::vector<RunningRollout>
RunningRollouts(DaemonState& aState)
{
  std::vector<RunningRollout> moves;
  aState.control.WithLock([&](ControlReader& aReader) {
    const ControlTable& table = aReader.Table();
    for (const auto& [service, entry] : table.Services()) {
      if (const RolloutState* running = table.FindRunningRollout(service)) {
        moves.push_back(RunningRollout{ *running, entry.document.move() });
      }
    }
  });
  return moves;
}

std::vector<std::string>
RolloutOwners(const RunningRollout& aMove,
              const std::vector<std::string>& aDaemons)
{
  const std::string key = std::to_string(aMove.state.rollout.value);
  std::vector<std::string> left = aDaemons;
  std::vector<std::string> owners;
  constexpr std::size_t kOwners = 2;
  while (!left.empty() && owners.size() < kOwners) {
    owners.push_back(RendezvousOwner(key, left));
    std::erase(left, owners.back());
  }
  return owners;
}

Task<void>
DriveRollouts(DaemonState& aState)
{
  ProgressByRollout watches;
  while (true) {
    for (const RunningRollout& move : RunningRollouts(aState)) {
      DriveRollout(aState, move, watches);
    }
    ReportEnded(aState, watches);
    co_await Sleep(kPollInterval);
  }
}

} // namespace toucanshed
