#include "Placement.h"

#include "Catalog.h"
#include "base/Hash.h"

#include <algorithm>
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
 * traffic. It only breaks ties. */
constexpr double kCrossZoneCostMs = 2;
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
 * another engine. */
InstanceId
PreferredEngineOf(const std::string& aSection,
                  const std::vector<Backend*>& aEligible,
                  const std::set<InstanceId>& aRateLimited)
{
  InstanceId preferred;
  std::uint64_t highest = 0;
  const std::uint64_t key = Hash64(aSection);
  for (const Backend* backend : aEligible) {
    if (aRateLimited.contains(backend->entry.id)) {
      continue;
    }
    const std::uint64_t rank =
      CombineHashes(key, Hash64(backend->entry.id.value));
    if (preferred.Empty() || rank > highest) {
      highest = rank;
      preferred = backend->entry.id;
    }
  }
  return preferred;
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

double
Placer::ExpectedMs(const Backend& aBackend, std::uint64_t aTokens) const
{
  const double prefillTokens =
    static_cast<double>(aBackend.localLoad.promptTokens +
                        aBackend.remoteLoad.promptTokens) +
    static_cast<double>(aTokens);
  const double slots = std::max(1U, aBackend.entry.slots);
  const double fill = static_cast<double>(aBackend.TotalRunning()) / slots;
  // Each running request makes every decoding step a little longer.
  const double steps = this->speed.outputTokenMs * (1 + fill);
  const double over =
    std::max(0.0, fill - 1) * slots * this->speed.outputTokenMs;
  return aBackend.slowness *
           (prefillTokens / this->speed.promptTokensPerMs + steps) +
         over * 10 + aBackend.failureRate * kFailureCostMs;
}

std::optional<Placement>
Placer::Choose(const std::vector<Backend*>& aBackends,
               const PlacementRequest& aRequest,
               const EngineTraits* aTraits,
               TimePoint aNow) const
{
  std::vector<Backend*> eligible;
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
  const std::uint64_t all = TotalTokens(aRequest.prompt);
  const std::uint64_t own = UnsharedTokens(aRequest.prompt);
  const std::vector<InstanceId>& cachedOn = aRequest.cachedBackends;
  const std::string shared = SharedSectionId(aRequest.prompt);
  InstanceId preferred;
  if (aTraits != nullptr && !shared.empty()) {
    preferred = PreferredEngineOf(shared, eligible, aRequest.rateLimited);
  }
  Placement best;
  double bestScore = std::numeric_limits<double>::max();
  for (const Backend* backend : eligible) {
    const InstanceId& id = backend->entry.id;
    const bool isCached =
      std::find(cachedOn.begin(), cachedOn.end(), id) != cachedOn.end();
    std::uint64_t tokens = isCached ? own : all;
    if (!isCached && id == preferred) {
      tokens = own + static_cast<std::uint64_t>(kPreferredUncachedShare *
                                                static_cast<double>(all - own));
    }
    const double expected = this->ExpectedMs(*backend, tokens);
    double score = expected;
    score += backend->entry.zone == this->zone ? 0 : kCrossZoneCostMs;
    score += preferred.Empty() || id == preferred || isCached
               ? 0
               : kPreferredEngineBonusMs;
    if (score < bestScore) {
      bestScore = score;
      const double capacity = backend->entry.slots * (1 + kQueueShare);
      best = Placement{
        backend->entry.id,
        expected,
        tokens,
        static_cast<std::uint64_t>(std::max<std::int64_t>(
          0,
          backend->localLoad.promptTokens + backend->remoteLoad.promptTokens)),
        static_cast<double>(backend->TotalRunning()) >= capacity
      };
    }
  }
  return best;
}

void
Placer::RecordResponseStart(double aTokens, double aMs)
{
  constexpr double kMinTokens = 2000; // other delays dominate below
  constexpr double kStep = 0.03; // follows a change of speed in 30 responses
  if (aTokens < kMinTokens || aMs <= 0) {
    return;
  }
  // Steps of a fixed ratio converge to the median of the observed speeds. Some
  // responses have a cached prompt and others wait for prompts that are unknown
  // here; a mean would follow these outliers.
  const bool faster = aTokens / aMs > this->speed.promptTokensPerMs;
  this->speed.promptTokensPerMs *= faster ? 1 + kStep : 1 / (1 + kStep);
}

} // namespace toucanshed
