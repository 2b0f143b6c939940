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
const Position kRollout{ 4096 };
const VersionId kOldVersion{ "v1" };
const VersionId kNewVersion{ "v2" };

config::Move
MakeSpec()
{
  config::Move spec;
  spec.set_from(kOldVersion.value);
  spec.set_to(kNewVersion.value);
  spec.set_deadline_s(300);
  spec.set_canary_percent(5);
  spec.set_soak_s(30);
  spec.set_min_requests(30);
  return spec;
}

class Simulation
{
public:
  Simulation(const RolloutScenario& aScenario, std::uint64_t aSeed)
    : scenario(aScenario)
    , random(aSeed)
    , spec(MakeSpec())
  {
    this->input.state.rollout = kRollout;
    this->input.state.from = kOldVersion;
    this->input.state.to = kNewVersion;
    this->input.spec = this->spec;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      this->tables.emplace_back("d" + std::to_string(i));
    }
  }

  RolloutResult Run()
  {
    constexpr std::int64_t kMaxMs = 400 * kSecond;
    while (this->nowMs < kMaxMs && !this->IsFinished()) {
      this->nowMs += kTickMs;
      this->SendTraffic();
      if (this->nowMs % kGossipMs == 0) {
        this->ExchangeEvidence();
      }
    }
    return this->result;
  }

private:
  [[nodiscard]] bool IsFinished() const
  {
    // The seconds after the end show whether the traffic has stopped.
    return this->endedAtMs >= 0 && this->nowMs > this->endedAtMs + 5 * kSecond;
  }

  [[nodiscard]] double NextNormal()
  {
    const double u = 1 - this->random.NextUnit();
    const double angle = 6.283185307 * this->random.NextUnit();
    return std::sqrt(-2 * std::log(u)) * std::cos(angle);
  }

  [[nodiscard]] std::uint32_t NewVersionPercent(std::size_t aDaemon) const
  {
    if (this->result.completed) {
      return 100;
    }
    // The daemon that finds the version bad acts at once; the others receive
    // the fact with its next message.
    const bool isInformed =
      this->result.rolledBack &&
      (aDaemon == 0 || this->nowMs >= this->endedAtMs + kGossipMs);
    return isInformed ? 0
                      : NewVersionPercentAt(this->input.state.step,
                                            this->spec.canary_percent());
  }

  void SendTraffic()
  {
    const double expected = kRequestsPerSecond * kTickMs / kSecond;
    auto count = static_cast<std::uint64_t>(expected);
    count += this->random.NextUnit() < expected - std::floor(expected) ? 1 : 0;
    for (std::uint64_t i = 0; i < count; ++i) {
      this->SendRequest();
    }
  }

  [[nodiscard]] bool IsFaulty(bool aIsRareRoute) const
  {
    return this->scenario.IsBad() &&
           this->nowMs >= this->scenario.faultyAfterS * kSecond &&
           this->input.state.step >= this->scenario.faultyFromStep &&
           (!this->scenario.rareRouteOnly || aIsRareRoute);
  }

  void SendRequest()
  {
    const std::size_t daemon = this->random.NextBelow(kDaemons);
    const bool isNew =
      this->random.NextBelow(100) < this->NewVersionPercent(daemon);
    const bool isRareRoute = this->random.NextUnit() < kRareRouteShare;
    const bool isFaulty = isNew && this->IsFaulty(isRareRoute);
    Observation observation;
    double firstTokenFactor = isFaulty ? this->scenario.firstTokenFactor : 1;
    if (isNew && this->random.NextUnit() < this->scenario.slowEngineShare) {
      firstTokenFactor *= 3;
    }
    const bool isPeak = this->scenario.peak && this->nowMs >= 60 * kSecond &&
                        this->nowMs < 120 * kSecond;
    firstTokenFactor *= isPeak ? 3 : 1;
    observation.firstTokenMs =
      80 * firstTokenFactor * std::exp(0.5 * this->NextNormal());
    const double gapFactor = isFaulty ? this->scenario.tokenGapFactor : 1;
    observation.meanGapMs =
      20 * gapFactor * std::exp(0.15 * this->NextNormal());
    const bool isReclaimWave = this->scenario.reclaimWave &&
                               this->nowMs >= 50 * kSecond &&
                               this->nowMs < 52 * kSecond;
    observation.error =
      (isFaulty && this->random.NextUnit() < this->scenario.failureShare) ||
      (isReclaimWave && this->random.NextUnit() < 0.1) ||
      this->random.NextUnit() < 0.002;
    const bool isRolledBack = this->endedAtMs >= 0 && this->result.rolledBack;
    if (isNew && isRolledBack) {
      ++this->result.newAfterRollback;
      this->result.secondsToZero =
        static_cast<double>(this->nowMs - this->endedAtMs) / kSecond;
    }
    if (isFaulty && !isRolledBack) {
      ++this->result.faultyBeforeRollback;
    }
    this->tables[daemon].Observe(
      kRollout,
      isNew ? kNewVersion : kOldVersion,
      Stratum{ this->input.state.step, isRareRoute ? "completions" : "chat" },
      observation);
  }

  void ExchangeEvidence()
  {
    for (std::size_t i = 1; i < kDaemons; ++i) {
      for (const peer::Evidence& evidence :
           this->tables[i].LocalEvidence(kRollout, TimePoint{ this->nowMs })) {
        this->tables[0].Merge(evidence);
      }
    }
    if (this->endedAtMs < 0) {
      this->EvaluateRollout();
    }
  }

  void EvaluateRollout()
  {
    EvidenceTable& table = this->tables[0];
    const TimePoint now{ this->nowMs };
    this->input.verdict = CompareVersions(table.Sum(kRollout, kOldVersion, now),
                                          table.Sum(kRollout, kNewVersion, now),
                                          VersionComparisonLimits{});
    this->input.stepRequests =
      this->input.verdict.requests - this->requestsAtStepStart;
    const RolloutProposal proposal =
      PlanRollout(this->input, TimePoint{ this->nowMs });
    switch (proposal.action) {
      case RolloutAction::eAdvance:
        ++this->input.state.step;
        this->input.stepStartedAt = TimePoint{ this->nowMs };
        this->requestsAtStepStart = this->input.verdict.requests;
        break;
      case RolloutAction::eRollBack:
        this->result.rolledBack = true;
        this->endedAtMs = this->nowMs;
        break;
      case RolloutAction::eDone:
        this->result.completed = true;
        this->endedAtMs = this->nowMs;
        break;
      case RolloutAction::eWait:
        break;
    }
    this->result.seconds = static_cast<double>(this->nowMs) / kSecond;
  }

  RolloutScenario scenario;
  Random random;
  config::Move spec;
  RolloutPlanInput input;
  std::vector<EvidenceTable> tables;
  RolloutResult result;
  std::int64_t nowMs = 0;
  std::int64_t endedAtMs = -1;
  std::uint64_t requestsAtStepStart = 0;
};

} // namespace

RolloutResult
SimulateRollout(const RolloutScenario& aScenario, std::uint64_t aSeed)
{
  return Simulation(aScenario, aSeed).Run();
}

} // namespace toucanshed::test
