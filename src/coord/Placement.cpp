#include "Placement.h"

#include "Catalog.h"
#include "base/Hash.h"

#include <algorithm>
#include <array>
#include <limits>

namespace toucanshed {

namespace {

/** The preferred engine of a section may be slower than another by this much
 * and is still chosen. Two daemons that see a section at the same time
 * therefore agree on it unless it is busy. */
constexpr double kPreferredEngineBonusMs = 15;
/** Fraction of the shared tokens that the preferred engine is assumed to have
 * to prefill when this daemon has no record of sending the section there. Other
 * daemons may have sent it, and not all of their sends are known here. If it
 * were assumed to cache nothing, any free engine would be preferred to it and
 * would prefill the section again. */
constexpr double kPreferredUncachedShare = 0.3;
/** Cost of a failure: the expected time of an engine grows by its failure rate
 * times this. It is about the time until a caller retries. */
constexpr double kFailureCostMs = 1500;
/** Cost of a round trip to another failure domain, including the price of the
 * traffic. Between an engine that caches the section and others it only breaks
 * ties: prefilling the section again costs more than the traffic. */
constexpr double kCachedCrossZoneCostMs = 2;
constexpr double kCrossZoneCostMs = 6;
/** Running requests that a long prompt delays count with this fraction of the
 * delay: their tokens come later, but few of them miss a target. */
constexpr double kRunningDelayShare = 0.02;
/** Least advantage for which a request leaves its pool. */
constexpr double kMinPoolCostMs = 10;
/** While the others' sends are not known at once, a request considers about
 * this many engines of each pool, drawn at random. All daemons see the same
 * old reports; if each took the best engine, they would all take the same one
 * until the next reports. */
constexpr double kDrawnEngines = 2;
/** Cost of an engine that was not drawn; it grows with the distance from those
 * that were, so that when none of these is eligible, another random one is. */
constexpr double kNotDrawnMs = 400;
/** Puts engines without room behind all others. */
constexpr double kNoRoomMs = 1e6;
/** Behind engines with memory for the request, before those without a slot: it
 * would wait there for others to end. */
constexpr double kNoMemoryMs = 500;
/** Speeds that a daemon may report; others are errors. */
constexpr double kMinTokensPerMs = 0.1;
constexpr double kMaxTokensPerMs = 10000;
constexpr double kMinTokenMs = 0.2;
constexpr double kMaxTokenMs = 200;
/** Requests beyond an engine's slots that may queue inside it, as a fraction of
 * the slots. They are few because a request queued in an engine can be neither
 * refused nor moved. */
constexpr double kQueueShare = 0.1;

bool
IsEligible(const Backend& aBackend,
           const PlacementRequest& aRequest,
           TimePoint aNow)
{
  return !aBackend.leaving && !aBackend.GraceExpired(aNow) &&
         aBackend.pausedUntil <= aNow && !aBackend.IsStalled(aNow) &&
         !aRequest.triedBackends.contains(aBackend.entry.id);
}

/** Selects the preferred engine of a section, the same at every daemon. A
 * rate-limited engine is never selected: it would get only a few of the
 * section's requests, and each of the others would prefill the section on
 * another engine.
 * \param aLongPool set: only engines of this pool */
const Backend*
PreferredEngineOf(const std::string& aSection,
                  const std::vector<Backend*>& aEligible,
                  const std::set<InstanceId>& aRateLimited,
                  std::optional<bool> aLongPool)
{
  const Backend* preferred = nullptr;
  std::uint64_t highest = 0;
  const std::uint64_t key = Hash64(aSection);
  for (const Backend* backend : aEligible) {
    const bool otherPool = aLongPool && backend->inLongPool != *aLongPool;
    if (otherPool || aRateLimited.contains(backend->entry.id)) {
      continue;
    }
    const std::uint64_t rank = CombineHashes(key, backend->idHash);
    if (preferred == nullptr || rank > highest) {
      highest = rank;
      preferred = backend;
    }
  }
  return preferred;
}

/** \return the probabilities for the short and the long pool */
std::array<double, 2>
DrawnShares(const std::vector<Backend*>& aEligible)
{
  std::array<double, 2> counts{};
  for (const Backend* backend : aEligible) {
    counts[backend->inLongPool ? 1 : 0] += 1;
  }
  for (double& count : counts) {
    count = kDrawnEngines / std::max(1.0, count);
  }
  return counts;
}

/** A number in [0, 1) that differs between requests and between engines. */
double
SpreadOf(std::uint64_t aKey, const Backend& aBackend)
{
  constexpr unsigned kDroppedBits = 11;
  return static_cast<double>(CombineHashes(aKey, aBackend.idHash) >>
                             kDroppedBits) *
         0x1.0p-53;
}

} // namespace

std::uint64_t
TotalTokens(const std::vector<PromptSection>& aPrompt)
{
  std::uint64_t tokens = 0;
  for (const PromptSection& section : aPrompt) {
    tokens += section.tokens;
  }
  return tokens;
}

std::uint64_t
UnsharedTokens(const std::vector<PromptSection>& aPrompt)
{
  return aPrompt.empty() ? 0 : aPrompt.back().tokens;
}

std::string
SharedSectionId(const std::vector<PromptSection>& aPrompt)
{
  // The last section is the request's own.
  return aPrompt.size() < 2 ? std::string{} : aPrompt[aPrompt.size() - 2].id;
}

std::string
SharedSectionIds(const std::vector<PromptSection>& aPrompt)
{
  std::string ids;
  for (std::size_t i = 0; i + 1 < aPrompt.size(); ++i) {
    ids += (ids.empty() ? "" : ",") + aPrompt[i].id;
  }
  return ids;
}

struct Placer::Choice
{
  const PlacementRequest& request;
  const EngineTraits* traits;
  const Backend* preferred = nullptr;
  std::uint64_t allTokens = 0;
  std::uint64_t ownTokens = 0;
  TimePoint now;
  /** Probability that an engine of the short and of the long pool is drawn. */
  std::array<double, 2> drawnShare{ 1, 1 };
};

double
Placer::NotDrawnCost(const Backend& aBackend, const Choice& aChoice)
{
  const double drawnShare = aChoice.drawnShare[aBackend.inLongPool ? 1 : 0];
  if (drawnShare >= 1) {
    return 0;
  }
  const double draw = SpreadOf(aChoice.request.spreadKey, aBackend);
  return kNotDrawnMs * std::max(0.0, draw / drawnShare - 1);
}

double
Placer::CostToOthers(const Candidate& aCandidate, bool aIsLong) const
{
  const EngineCapacity& capacity = aCandidate.capacity;
  const double prefillMs =
    static_cast<double>(aCandidate.tokens) * capacity.msPerPromptToken;
  const double running = capacity.fill * aCandidate.backend->entry.slots;
  double cost = aIsLong ? prefillMs * running * kRunningDelayShare : 0;
  const bool leavesPool =
    this->pools.Active() && aCandidate.backend->inLongPool != aIsLong;
  if (leavesPool) {
    cost += std::max(kMinPoolCostMs, prefillMs * std::max(1.0, running));
  }
  return cost;
}

Placer::Candidate
Placer::Rate(const Backend& aBackend,
             const Choice& aChoice,
             double aBound) const
{
  const PlacementRequest& request = aChoice.request;
  const auto& cachedOn = request.cachedBackends;
  const bool isCached =
    std::find(cachedOn.begin(), cachedOn.end(), aBackend.entry.id) !=
    cachedOn.end();
  const bool isPreferred = &aBackend == aChoice.preferred;
  const bool hasSection = isPreferred || isCached;
  Candidate candidate;
  candidate.backend = &aBackend;
  candidate.score = hasSection ? 0 : NotDrawnCost(aBackend, aChoice);
  if (candidate.score >= aBound) {
    return candidate;
  }
  candidate.tokens = isCached ? aChoice.ownTokens : aChoice.allTokens;
  if (isPreferred && !isCached) {
    const auto shared =
      static_cast<double>(aChoice.allTokens - aChoice.ownTokens);
    candidate.tokens = aChoice.ownTokens + static_cast<std::uint64_t>(
                                             kPreferredUncachedShare * shared);
  }
  candidate.capacity = EstimateCapacity(aBackend,
                                        this->speed,
                                        aChoice.traits,
                                        request.loadAge,
                                        this->usualMemoryTokens,
                                        aChoice.now);
  const EngineCapacity& capacity = candidate.capacity;
  const double base =
    aChoice.traits != nullptr
      ? capacity.FirstEventMs(static_cast<double>(candidate.tokens))
      : PlainResponseMs(
          aBackend, request.loadAge, this->usualResponseMs, aChoice.now);
  candidate.expectedMs = base + aBackend.failureRate * kFailureCostMs;
  candidate.atCapacity = capacity.fill >= 1 + kQueueShare;
  const bool noMemory =
    capacity.freeTokens &&
    *capacity.freeTokens < static_cast<double>(request.memoryTokens);
  double score = candidate.score + candidate.expectedMs;
  if (aBackend.entry.zone != this->zone) {
    score += hasSection ? kCachedCrossZoneCostMs : kCrossZoneCostMs;
  }
  score +=
    aChoice.preferred == nullptr || hasSection ? 0 : kPreferredEngineBonusMs;
  score += candidate.atCapacity ? kNoRoomMs : 0;
  score += noMemory ? kNoMemoryMs : 0;
  if (aChoice.traits != nullptr) {
    score += this->CostToOthers(candidate, request.isLong);
  }
  candidate.score = score;
  return candidate;
}

Placement
Placer::ToPlacement(const Candidate& aBest, const LoadAge& aAge) const
{
  const Backend& backend = *aBest.backend;
  const EngineCapacity& capacity = aBest.capacity;
  Placement placement;
  placement.backend = backend.entry.id;
  placement.expectedMs = aBest.expectedMs;
  placement.uncachedTokens = aBest.tokens;
  placement.queuedTokens = static_cast<std::uint64_t>(std::max<std::int64_t>(
    0, backend.localLoad.promptTokens + backend.remoteLoad.promptTokens));
  placement.atCapacity = aBest.atCapacity;
  placement.freeSlots = capacity.freeSlots;
  placement.prefillAheadMs = capacity.prefillAheadMs;
  placement.prefillMs =
    static_cast<double>(aBest.tokens) * capacity.msPerPromptToken;
  placement.aheadTokens = capacity.aheadTokens;
  placement.knowsQueue = aAge.fresh >= 1;
  placement.knownAheadTokens =
    placement.knowsQueue ? capacity.aheadTokens
                         : static_cast<double>(backend.localLoad.promptTokens);
  placement.usualStepMs = this->speed.outputTokenMs * (1 + capacity.fill);
  placement.usualMs =
    (placement.knownAheadTokens + static_cast<double>(aBest.tokens)) /
      this->speed.promptTokensPerMs +
    placement.usualStepMs + capacity.queued * EngineCapacity::kQueuedRequestMs;
  return placement;
}

std::optional<Placement>
Placer::Choose(const std::vector<Backend*>& aBackends,
               const PlacementRequest& aRequest,
               const EngineTraits* aTraits,
               TimePoint aNow) const
{
  std::vector<Backend*> eligible;
  eligible.reserve(aBackends.size());
  for (Backend* backend : aBackends) {
    if (IsEligible(*backend, aRequest, aNow)) {
      eligible.push_back(backend);
    }
  }
  if (eligible.empty()) {
    return std::nullopt;
  }
  if (aRequest.leastBusy) {
    eligible = { *std::min_element(
      eligible.begin(), eligible.end(), [](auto* aLeft, auto* aRight) {
        return aLeft->TotalRunning() < aRight->TotalRunning();
      }) };
  }
  Choice choice{ aRequest,
                 aTraits,
                 nullptr,
                 TotalTokens(aRequest.prompt),
                 UnsharedTokens(aRequest.prompt),
                 aNow };
  if (aRequest.loadAge.fresh < 1) {
    choice.drawnShare = DrawnShares(eligible);
  }
  const std::string shared = SharedSectionId(aRequest.prompt);
  if (aTraits != nullptr && !shared.empty()) {
    const std::optional<bool> pool =
      this->pools.Active() ? std::optional(aRequest.isLong) : std::nullopt;
    choice.preferred =
      PreferredEngineOf(shared, eligible, aRequest.rateLimited, pool);
    if (choice.preferred == nullptr && pool) {
      choice.preferred =
        PreferredEngineOf(shared, eligible, aRequest.rateLimited, std::nullopt);
    }
  }
  std::optional<Candidate> best;
  for (const Backend* backend : eligible) {
    const double bound =
      best ? best->score : std::numeric_limits<double>::max();
    const Candidate candidate = this->Rate(*backend, choice, bound);
    if (!best || candidate.score < best->score) {
      best = candidate;
    }
  }
  return this->ToPlacement(*best, aRequest.loadAge);
}

namespace {

/** Steps of a fixed ratio converge to the median of the observed values. Some
 * responses have a cached prompt and others wait for prompts that are unknown
 * here; a mean would follow these outliers. */
double
StepTowards(double aEstimate, double aObserved)
{
  constexpr double kStep = 0.03; // follows a change of speed in 30 responses
  return aObserved > aEstimate ? aEstimate * (1 + kStep)
                               : aEstimate / (1 + kStep);
}

/** \param aAverage of about the last fifty values; 0: none yet */
void
AddToAverage(std::uint64_t aTokens, double& aAverage)
{
  constexpr double kLatestWeight = 0.02;
  const auto tokens = static_cast<double>(aTokens);
  aAverage =
    aAverage > 0 ? aAverage + kLatestWeight * (tokens - aAverage) : tokens;
}

} // namespace

void
Placer::RecordResponseStart(const Placement& aPlacement, double aMs)
{
  constexpr double kMinTokens = 2000; // other delays dominate below
  if (!(aMs >= 0)) {
    return;
  }
  // Soon right after the start, and not moved far by one slow response.
  constexpr double kLatestWeight = 0.2;
  constexpr double kMaxTimesUsual = 4;
  const double usual = this->usualResponseMs;
  this->usualResponseMs +=
    kLatestWeight * (std::min(aMs, kMaxTimesUsual * usual) - usual);
  const double tokens =
    aPlacement.aheadTokens + static_cast<double>(aPlacement.uncachedTokens);
  if (tokens >= kMinTokens) {
    this->speed.promptTokensPerMs =
      StepTowards(this->speed.promptTokensPerMs, tokens / std::max(aMs, 1.0));
    this->learnedStarts = std::min(this->learnedStarts + 1, kLearnedResponses);
  }
}

void
Placer::RecordSteps(const Placement& aPlacement, double aTokenMs)
{
  const double usual = aPlacement.usualStepMs;
  if (!(aTokenMs > 0) || !(usual > 0)) {
    return;
  }
  const double current = this->speed.outputTokenMs;
  this->speed.outputTokenMs = std::clamp(
    StepTowards(current, aTokenMs / usual * current), kMinTokenMs, kMaxTokenMs);
}

void
Placer::RecordMemory(std::uint64_t aTokens)
{
  AddToAverage(aTokens, this->usualMemoryTokens);
}

void
Placer::RecordOutput(int aPriority, std::uint64_t aTokens)
{
  AddToAverage(aTokens, this->usualOutputs[aPriority]);
}

std::uint64_t
Placer::UsualOutput(int aPriority) const
{
  const auto found = this->usualOutputs.find(aPriority);
  return found == this->usualOutputs.end()
           ? 0
           : static_cast<std::uint64_t>(found->second);
}

void
Placer::AdoptSpeed(const EngineSpeed& aReported)
{
  const bool prefillUsable = aReported.promptTokensPerMs >= kMinTokensPerMs &&
                             aReported.promptTokensPerMs <= kMaxTokensPerMs;
  const bool stepsUsable = aReported.outputTokenMs >= kMinTokenMs &&
                           aReported.outputTokenMs <= kMaxTokenMs;
  this->reportedTokensPerMs = prefillUsable ? aReported.promptTokensPerMs : 0;
  if (this->HasLearnedSpeed()) {
    return;
  }
  if (prefillUsable) {
    this->speed.promptTokensPerMs = aReported.promptTokensPerMs;
  }
  if (stepsUsable) {
    this->speed.outputTokenMs = aReported.outputTokenMs;
  }
}

} // namespace toucanshed
