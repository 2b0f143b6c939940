#include "Router.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {

constexpr std::uint64_t kPointsPerEngine = 8;
constexpr std::size_t kRingCandidates = 2;
constexpr std::size_t kRandomCandidates = 2;
/** Random candidates compared while every candidate so far would queue the
 * request. */
constexpr std::size_t kMaxRandomCandidates = 12;
/** Prompt tokens that an engine prefills in a millisecond. This is an estimate;
 * the observed slowness of each engine corrects its error. */
constexpr double kPrefillTokensPerMs = 20;
constexpr double kDecodeStepMs = 5;
constexpr double kCrossZoneMs = 2;
/** Weight of a new observation in the exponential moving averages. */
constexpr double kSmoothingFactor = 0.1;
constexpr double kMaxSlowness = 50;
/** Back ends scanned when all candidates are full. The bound keeps a choice in
 * a full fleet as cheap as in an empty one. */
constexpr std::size_t kMaxScannedEngines = 32;

} // namespace

Router::Router(Random aRandom, RoutingPolicy aPolicy)
  : random(aRandom)
  , policy(aPolicy)
{
}

double
Router::MaxInFlight(const EngineReport& aReport) const
{
  // Twice the fair share of the slots, because the load of the daemons differs.
  // AdaptiveLimit reduces it when first tokens come late.
  const auto fairShare =
    static_cast<double>(aReport.slots) / static_cast<double>(this->daemonCount);
  return std::max(1.0, std::ceil(2 * fairShare));
}

void
Router::SetDaemonCount(std::size_t aCount)
{
  if (this->daemonCount == std::max<std::size_t>(1, aCount)) {
    return;
  }
  this->daemonCount = std::max<std::size_t>(1, aCount);
  for (auto& [id, engine] : this->engines) {
    engine->concurrencyLimit.SetMaxInFlight(this->MaxInFlight(engine->report));
  }
}

void
Router::Upsert(const EngineReport& aReport)
{
  auto& slot = this->engines[aReport.id];
  const bool isNew =
    slot == nullptr || slot->report.incarnation != aReport.incarnation;
  if (isNew) {
    slot = std::make_unique<Engine>();
    slot->concurrencyLimit = AdaptiveLimit(this->MaxInFlight(aReport));
  }
  const bool groupChanged = isNew || slot->report.version != aReport.version ||
                            slot->report.service != aReport.service;
  const bool leaving = aReport.leaving || slot->report.leaving;
  slot->report = aReport;
  slot->report.leaving = leaving;
  ++slot->reportCount;
  slot->inFlightSinceReport = 0;
  slot->endedSinceReport = 0;
  if (groupChanged) {
    this->RebuildGroups();
  }
}

void
Router::Remove(const InstanceId& aId)
{
  if (this->engines.erase(aId) != 0) {
    this->RebuildGroups();
  }
}

void
Router::RebuildGroups()
{
  this->groups.clear();
  for (const auto& [id, engine] : this->engines) {
    VersionGroup& group =
      this->groups[{ engine->report.service, engine->report.version }];
    group.engines.push_back(engine.get());
    for (std::uint64_t point = 0; point < kPointsPerEngine; ++point) {
      group.ring.push_back(
        RingPoint{ Hash64(id.value, point), id, engine.get() });
    }
  }
  for (auto& [key, group] : this->groups) {
    std::sort(group.ring.begin(),
              group.ring.end(),
              [](const RingPoint& aLeft, const RingPoint& aRight) {
                return aLeft.hash < aRight.hash;
              });
  }
}

Engine*
Router::FindEngine(const std::string& aIncarnationKey)
{
  const auto slash = aIncarnationKey.rfind('/');
  const auto found =
    this->engines.find(InstanceId{ aIncarnationKey.substr(0, slash) });
  const bool same = found != this->engines.end() &&
                    IncarnationKeyOf(found->second->report) == aIncarnationKey;
  return same ? found->second.get() : nullptr;
}

const Engine*
Router::FindIncarnation(const std::string& aIncarnationKey) const
{
  return const_cast<Router*>(this)->FindEngine(aIncarnationKey);
}

bool
Router::MarkLeaving(const std::string& aIncarnationKey)
{
  Engine* engine = this->FindEngine(aIncarnationKey);
  if (engine == nullptr || engine->report.leaving) {
    return false;
  }
  engine->report.leaving = true;
  return true;
}

void
Router::MarkDown(const std::string& aIncarnationKey, TimePoint aUntil)
{
  if (Engine* engine = this->FindEngine(aIncarnationKey)) {
    engine->downUntil = aUntil;
  }
}

bool
Router::CanAccept(const Engine& aEngine,
                  const RouteRequest& aRequest,
                  TimePoint aNow) const
{
  if (aEngine.report.leaving || aEngine.downUntil > aNow ||
      aEngine.IsStalled() ||
      !aEngine.concurrencyLimit.Allows(static_cast<double>(aEngine.inFlight))) {
    return false;
  }
  const double load =
    aEngine.EstimatedLoad(static_cast<double>(this->daemonCount));
  if (aRequest.reservedSlots > 0 &&
      load + 1 + aRequest.reservedSlots >
        static_cast<double>(aEngine.report.slots)) {
    return false;
  }
  if (aRequest.excluded.empty() && this->reserved.empty()) {
    return true;
  }
  const std::string incarnationKey = IncarnationKeyOf(aEngine.report);
  return aRequest.excluded.count(incarnationKey) == 0 &&
         this->reserved.count(incarnationKey) == 0;
}

double
Router::ExpectedMs(const Engine& aEngine,
                   const RouteRequest& aRequest,
                   bool aCached) const
{
  const auto slots = static_cast<double>(aEngine.report.slots);
  const double load =
    aEngine.EstimatedLoad(static_cast<double>(this->daemonCount));
  const double ahead = std::max(0.0, load + 1 - slots);
  const double queue = ahead * aEngine.meanServiceMs / slots;
  const auto prefillTokens = static_cast<double>(
    aRequest.promptTokens - (aCached ? aRequest.prefixTokens : 0));
  const double prefill = prefillTokens / kPrefillTokensPerMs;
  const bool sameZone = aEngine.report.zone == aRequest.zone;
  // A decode step takes longer when the batch is fuller. This term also spreads
  // the load while no engine has a queue.
  const double batch = kDecodeStepMs * (1 + std::min(1.0, load / slots));
  return (queue + prefill + batch) * aEngine.slowness +
         (sameZone ? 0 : kCrossZoneMs);
}

Engine*
Router::PickBest(VersionGroup& aGroup,
                 const RouteRequest& aRequest,
                 TimePoint aNow,
                 double& aExpectedMs)
{
  Engine* best = nullptr;
  const auto consider = [&](Engine* aEngine, bool aCached) {
    if (!this->CanAccept(*aEngine, aRequest, aNow)) {
      return;
    }
    const double expected = this->ExpectedMs(*aEngine, aRequest, aCached);
    if (best == nullptr || expected < aExpectedMs) {
      best = aEngine;
      aExpectedMs = expected;
    }
  };
  if (aRequest.prefixHash != 0) {
    auto point =
      std::lower_bound(aGroup.ring.begin(),
                       aGroup.ring.end(),
                       aRequest.prefixHash,
                       [](const RingPoint& aPoint, std::uint64_t aHash) {
                         return aPoint.hash < aHash;
                       });
    const Engine* previous = nullptr;
    std::size_t considered = 0;
    for (std::size_t steps = 0;
         steps < kPointsPerEngine && considered < kRingCandidates;
         ++steps) {
      if (point == aGroup.ring.end()) {
        point = aGroup.ring.begin();
      }
      if (point->engine != previous) {
        consider(point->engine, true);
        previous = point->engine;
        ++considered;
      }
      ++point;
    }
  }
  const auto bestWouldQueue = [&] {
    return best == nullptr ||
           best->EstimatedLoad(static_cast<double>(this->daemonCount)) + 1 >
             static_cast<double>(best->report.slots);
  };
  for (std::size_t i = 0;
       i < kRandomCandidates || (bestWouldQueue() && i < kMaxRandomCandidates);
       ++i) {
    consider(aGroup.engines[this->random.NextBelow(aGroup.engines.size())],
             false);
  }
  return best;
}

Engine*
Router::PickBaseline(VersionGroup& aGroup,
                     const RouteRequest& aRequest,
                     TimePoint aNow)
{
  if (this->policy == RoutingPolicy::eLeastOutstanding) {
    Engine* best = nullptr;
    for (Engine* engine : aGroup.engines) {
      if (this->CanAccept(*engine, aRequest, aNow) &&
          (best == nullptr || engine->inFlight < best->inFlight)) {
        best = engine;
      }
    }
    return best;
  }
  const std::size_t start = this->policy == RoutingPolicy::eRandom
                              ? this->random.NextBelow(aGroup.engines.size())
                              : aGroup.nextRoundRobin++;
  for (std::size_t i = 0; i < aGroup.engines.size(); ++i) {
    Engine* engine = aGroup.engines[(start + i) % aGroup.engines.size()];
    if (this->CanAccept(*engine, aRequest, aNow)) {
      return engine;
    }
  }
  return nullptr;
}

Engine*
Router::PickAny(VersionGroup& aGroup,
                const RouteRequest& aRequest,
                TimePoint aNow)
{
  const std::size_t start = this->random.NextBelow(aGroup.engines.size());
  const std::size_t tries = std::min(aGroup.engines.size(), kMaxScannedEngines);
  for (std::size_t i = 0; i < tries; ++i) {
    Engine* engine = aGroup.engines[(start + i) % aGroup.engines.size()];
    if (this->CanAccept(*engine, aRequest, aNow)) {
      return engine;
    }
  }
  return nullptr;
}

EngineChoice
Router::TakeSlot(Engine& aEngine, double aExpectedMs)
{
  ++aEngine.inFlight;
  ++aEngine.inFlightSinceReport;
  return EngineChoice{ aEngine.report.id,
                       aEngine.report.incarnation,
                       aEngine.report.address,
                       aEngine.report.version,
                       aExpectedMs,
                       aEngine.reportCount };
}

std::optional<EngineChoice>
Router::Pick(const RouteRequest& aRequest, TimePoint aNow)
{
  const auto found = this->groups.find({ aRequest.service, aRequest.version });
  if (found == this->groups.end()) {
    return std::nullopt;
  }
  VersionGroup& group = found->second;
  double expected = 0;
  Engine* engine = nullptr;
  if (this->policy == RoutingPolicy::eExpectedFirstToken) {
    engine = this->PickBest(group, aRequest, aNow, expected);
    if (engine == nullptr) {
      engine = this->PickAny(group, aRequest, aNow);
    }
  } else {
    engine = this->PickBaseline(group, aRequest, aNow);
  }
  if (engine == nullptr) {
    return std::nullopt;
  }
  if (expected == 0) {
    expected = this->ExpectedMs(*engine, aRequest, false);
  }
  return TakeSlot(*engine, expected);
}

bool
Router::IsUsable(const std::string& aIncarnationKey, TimePoint aNow) const
{
  const Engine* engine = this->FindIncarnation(aIncarnationKey);
  return engine != nullptr && !engine->report.leaving &&
         engine->downUntil <= aNow;
}

std::optional<EngineChoice>
Router::PickIncarnation(const std::string& aIncarnationKey, TimePoint aNow)
{
  if (!this->IsUsable(aIncarnationKey, aNow)) {
    return std::nullopt;
  }
  return TakeSlot(*this->FindEngine(aIncarnationKey), 0);
}

void
Router::ReleaseSlot(Engine& aEngine, const EngineChoice& aChoice)
{
  aEngine.inFlight -= aEngine.inFlight > 0 ? 1 : 0;
  if (aChoice.reportNumber == aEngine.reportCount) {
    --aEngine.inFlightSinceReport;
  } else {
    ++aEngine.endedSinceReport;
  }
}

void
Router::ReturnSlot(const EngineChoice& aChoice)
{
  if (Engine* engine = this->FindEngine(aChoice.IncarnationKey())) {
    ReleaseSlot(*engine, aChoice);
  }
}

void
Router::RecordSilence(const EngineChoice& aChoice, TimePoint aSince)
{
  Engine* engine = this->FindEngine(aChoice.IncarnationKey());
  if (engine == nullptr) {
    return;
  }
  ++engine->silentRuns;
  if (engine->lastSignAt <= aSince) {
    engine->silentSince = aSince;
  }
}

void
Router::RecordSign(const EngineChoice& aChoice, bool aWasSilent, TimePoint aNow)
{
  Engine* engine = this->FindEngine(aChoice.IncarnationKey());
  if (engine == nullptr) {
    return;
  }
  engine->lastSignAt = aNow;
  engine->silentSince = TimePoint{};
  engine->silentRuns -= aWasSilent && engine->silentRuns > 0 ? 1 : 0;
}

void
Router::Finish(const EngineChoice& aChoice, const EngineResult& aResult)
{
  Engine* engine = this->FindEngine(aChoice.IncarnationKey());
  if (engine == nullptr) {
    return;
  }
  ReleaseSlot(*engine, aChoice);
  engine->silentRuns -= aResult.silent && engine->silentRuns > 0 ? 1 : 0;
  if (aResult.completed) {
    engine->meanServiceMs +=
      kSmoothingFactor * (aResult.totalMs - engine->meanServiceMs);
  }
  if (aResult.firstTokenMs < 0) {
    engine->concurrencyLimit.RecordLate();
    return;
  }
  if (aChoice.expectedFirstTokenMs > 0) {
    const double ratio = aResult.firstTokenMs / aChoice.expectedFirstTokenMs;
    engine->slowness +=
      kSmoothingFactor * (ratio * engine->slowness - engine->slowness);
    engine->slowness = std::clamp(engine->slowness, 1.0, kMaxSlowness);
    const bool late = ratio > 2 && aResult.firstTokenMs > 100;
    late ? engine->concurrencyLimit.RecordLate()
         : engine->concurrencyLimit.RecordOnTime();
  }
}

std::vector<std::string>
Router::AvailableIncarnations(const ServiceId& aService,
                              const VersionId& aVersion,
                              TimePoint aNow) const
{
  std::vector<std::string> incarnationKeys;
  const auto found = this->groups.find({ aService, aVersion });
  if (found == this->groups.end()) {
    return incarnationKeys;
  }
  for (const Engine* engine : found->second.engines) {
    if (!engine->report.leaving && engine->downUntil <= aNow) {
      incarnationKeys.push_back(IncarnationKeyOf(engine->report));
    }
  }
  return incarnationKeys;
}

Router::VersionCapacity
Router::CapacityOf(const ServiceId& aService,
                   const VersionId& aVersion,
                   TimePoint aNow) const
{
  VersionCapacity capacity;
  const auto found = this->groups.find({ aService, aVersion });
  if (found == this->groups.end()) {
    return capacity;
  }
  for (const Engine* engine : found->second.engines) {
    if (engine->report.leaving || engine->downUntil > aNow) {
      continue;
    }
    capacity.slots += static_cast<double>(engine->report.slots);
    capacity.waiting += static_cast<double>(engine->report.waiting);
  }
  return capacity;
}

std::vector<EngineReport>
Router::Reports() const
{
  std::vector<EngineReport> reports;
  for (const auto& [id, engine] : this->engines) {
    reports.push_back(engine->report);
  }
  return reports;
}

} // namespace toucanshed
