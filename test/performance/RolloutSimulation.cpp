#include "RolloutSimulation.h"

#include <cmath>
#include <memory>

namespace toucanshed::test {

namespace {

constexpr std::size_t kDaemons = 6;
constexpr std::int64_t kTickMs = 50;
constexpr std::int64_t kGossipMs = 300;
constexpr double kRequestsPerSecond = 30;
constexpr double kRareRouteShare = 0.2;
constexpr std::int64_t kSecond = 1000;
const Position kMove{ 4096 };
const VersionId kOld{ "v1" };
const VersionId kNew{ "v2" };

config::Move
Asked()
{
  config::Move move;
  move.set_from(kOld.value);
  move.set_to(kNew.value);
  move.set_deadline_s(300);
  move.set_canary_percent(5);
  move.set_soak_s(30);
  move.set_min_requests(30);
  return move;
}

class World
{
public:
  World(const RolloutScenario& aScene, std::uint64_t aSeed)
    : scene(aScene)
    , random(aSeed)
    , asked(Asked())
  {
    this->outlook.state.rollout = kMove;
    this->outlook.state.from = kOld;
    this->outlook.state.to = kNew;
    this->outlook.spec = this->asked;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      this->tables.emplace_back("d" + std::to_string(i));
    }
  }

  RolloutResult Run()
  {
    constexpr std::int64_t kMostMs = 400 * kSecond;
    while (this->ms < kMostMs && !this->Settled()) {
      this->ms += kTickMs;
      this->Traffic();
      if (this->ms % kGossipMs == 0) {
        this->Gossip();
      }
    }
    return this->run;
  }

private:
  [[nodiscard]] bool Settled() const
  {
    // Some seconds beyond the verdict show whether traffic has stopped.
    return this->ended >= 0 && this->ms > this->ended + 5 * kSecond;
  }

  [[nodiscard]] double Normal()
  {
    const double u = 1 - this->random.NextUnit();
    const double angle = 6.283185307 * this->random.NextUnit();
    return std::sqrt(-2 * std::log(u)) * std::cos(angle);
  }

  [[nodiscard]] std::uint32_t ShareNow(std::size_t aDaemon) const
  {
    if (this->run.completed) {
      return 100;
    }
    // The daemon that finds the version bad acts at once; the word reaches the
    // others with its next message.
    const bool heard = this->run.rolledBack &&
                       (aDaemon == 0 || this->ms >= this->ended + kGossipMs);
    return heard ? 0
                 : NewVersionPercentAt(this->outlook.state.step,
                                       this->asked.canary_percent());
  }

  void Traffic()
  {
    const double expected = kRequestsPerSecond * kTickMs / kSecond;
    auto count = static_cast<std::uint64_t>(expected);
    count += this->random.NextUnit() < expected - std::floor(expected) ? 1 : 0;
    for (std::uint64_t i = 0; i < count; ++i) {
      this->One();
    }
  }

  [[nodiscard]] bool FaultyNow(bool aRare) const
  {
    return this->scene.IsBad() &&
           this->ms >= this->scene.faultyAfterS * kSecond &&
           this->outlook.state.step >= this->scene.faultyFromStep &&
           (!this->scene.rareRouteOnly || aRare);
  }

  void One()
  {
    const std::size_t daemon = this->random.NextBelow(kDaemons);
    const bool fresh = this->random.NextBelow(100) < this->ShareNow(daemon);
    const bool rare = this->random.NextUnit() < kRareRouteShare;
    const bool faulty = fresh && this->FaultyNow(rare);
    Observation seen;
    double slow = faulty ? this->scene.firstTokenFactor : 1;
    if (fresh && this->random.NextUnit() < this->scene.slowEngineShare) {
      slow *= 3;
    }
    const bool peakNow =
      this->scene.peak && this->ms >= 60 * kSecond && this->ms < 120 * kSecond;
    slow *= peakNow ? 3 : 1;
    seen.firstTokenMs = 80 * slow * std::exp(0.5 * this->Normal());
    const double gap = faulty ? this->scene.tokenGapFactor : 1;
    seen.meanGapMs = 20 * gap * std::exp(0.15 * this->Normal());
    const bool wave = this->scene.reclaimWave && this->ms >= 50 * kSecond &&
                      this->ms < 52 * kSecond;
    seen.error =
      (faulty && this->random.NextUnit() < this->scene.failureShare) ||
      (wave && this->random.NextUnit() < 0.1) ||
      this->random.NextUnit() < 0.002;
    const bool verdict = this->ended >= 0 && this->run.rolledBack;
    if (fresh && verdict) {
      ++this->run.newAfterRollback;
      this->run.secondsToZero =
        static_cast<double>(this->ms - this->ended) / kSecond;
    }
    if (faulty && !verdict) {
      ++this->run.faultyBeforeRollback;
    }
    this->tables[daemon].Observe(
      kMove,
      fresh ? kNew : kOld,
      Stratum{ this->outlook.state.step, rare ? "completions" : "chat" },
      seen);
  }

  void Gossip()
  {
    for (std::size_t i = 1; i < kDaemons; ++i) {
      for (const peer::Evidence& evidence :
           this->tables[i].LocalEvidence(kMove)) {
        this->tables[0].Merge(evidence);
      }
    }
    if (this->ended < 0) {
      this->Judge();
    }
  }

  void Judge()
  {
    EvidenceTable& table = this->tables[0];
    this->outlook.finding = CompareVersions(table.Sum(kMove, kOld),
                                            table.Sum(kMove, kNew),
                                            VersionComparisonLimits{});
    this->outlook.stepRequests =
      this->outlook.finding.requests - this->requestsBefore;
    const RolloutProposal decision =
      PlanRollout(this->outlook, TimePoint{ this->ms });
    switch (decision.action) {
      case RolloutAction::eAdvance:
        ++this->outlook.state.step;
        this->outlook.stepStartedAt = TimePoint{ this->ms };
        this->requestsBefore = this->outlook.finding.requests;
        break;
      case RolloutAction::eRollBack:
        this->run.rolledBack = true;
        this->ended = this->ms;
        break;
      case RolloutAction::eDone:
        this->run.completed = true;
        this->ended = this->ms;
        break;
      case RolloutAction::eWait:
        break;
    }
    this->run.seconds = static_cast<double>(this->ms) / kSecond;
  }

  RolloutScenario scene;
  Random random;
  config::Move asked;
  RolloutPlanInput outlook;
  std::vector<EvidenceTable> tables;
  RolloutResult run;
  std::int64_t ms = 0;
  std::int64_t ended = -1;
  std::uint64_t requestsBefore = 0;
};

} // namespace

RolloutResult
SimulateRollout(const RolloutScenario& aScene, std::uint64_t aSeed)
{
  return World(aScene, aSeed).Run();
}

} // namespace toucanshed::test
