#include "Placement.h"

#include "Catalog.h"
#include "base/Hash.h"

#include <algorithm>
#include <limits>

namespace toucanshed {

namespace {

/** What the engine that a part names may be slower by: two daemons that meet a
 * part at the same time agree on it unless it is busy. */
constexpr double kPreferredEngineBonusMs = 15;
/** Part of the shared tokens that the engine which a part names is taken to
 * have to read, when this daemon has not sent it there lately: others have, and
 * among many daemons that is not known here. Taken to lack them all, it would
 * be passed over for any free engine, and the part be read again there. */
constexpr double kPreferredUncachedShare = 0.3;
/** A failing engine's expected time is stretched as if each failure in its
 * newest answers cost this; about the time until a caller comes back. */
constexpr double kFailureCostMs = 1500;
/** Crossing into another failure domain and back, in milliseconds, with the
 * price of the bytes; breaks ties only. */
constexpr double kCrossZoneCostMs = 2;
/** Requests at once beyond an engine's slots that may wait in it; they cannot
 * be refused or moved from there. As a share of the slots. */
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

/** The back end that a part's id names, the same at every daemon. An engine in
 * need is none: the part's requests would go there now and then, and it would
 * be read again elsewhere for each of the others. */
InstanceId
PreferredEngineOf(const std::string& aPart,
                  const std::vector<Backend*>& aUsable,
                  const std::set<InstanceId>& aInNeed)
{
  InstanceId home;
  std::uint64_t highest = 0;
  const std::uint64_t key = Hash64(aPart);
  for (const Backend* backend : aUsable) {
    if (aInNeed.contains(backend->entry.id)) {
      continue;
    }
    const std::uint64_t rank =
      CombineHashes(key, Hash64(backend->entry.id.value));
    if (home.Empty() || rank > highest) {
      highest = rank;
      home = backend->entry.id;
    }
  }
  return home;
}

} // namespace

std::uint64_t
TotalTokens(const std::vector<PromptSection>& aPrompt)
{
  std::uint64_t tokens = 0;
  for (const PromptSection& part : aPrompt) {
    tokens += part.tokens;
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
  // The request's own part is the last one.
  return aPrompt.size() < 2 ? std::string{} : aPrompt[aPrompt.size() - 2].id;
}

double
Placer::ExpectedMs(const Backend& aBackend, std::uint64_t aTokens) const
{
  const double reading = static_cast<double>(aBackend.localLoad.promptTokens +
                                             aBackend.remoteLoad.promptTokens) +
                         static_cast<double>(aTokens);
  const double slots = std::max(1U, aBackend.entry.slots);
  const double fill = static_cast<double>(aBackend.TotalRunning()) / slots;
  // Each running request makes every step a little longer.
  const double steps = this->speed.outputTokenMs * (1 + fill);
  const double over =
    std::max(0.0, fill - 1) * slots * this->speed.outputTokenMs;
  return aBackend.slowness * (reading / this->speed.promptTokensPerMs + steps) +
         over * 10 + aBackend.failureRate * kFailureCostMs;
}

std::optional<Placement>
Placer::Choose(const std::vector<Backend*>& aBackends,
               const PlacementRequest& aRequest,
               const EngineTraits* aTraits,
               TimePoint aNow) const
{
  std::vector<Backend*> usable;
  for (Backend* backend : aBackends) {
    if (IsEligible(*backend, aRequest, aNow)) {
      usable.push_back(backend);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const std::uint64_t all = TotalTokens(aRequest.prompt);
  const std::uint64_t own = UnsharedTokens(aRequest.prompt);
  const std::vector<InstanceId>& holders = aRequest.cachedBackends;
  const std::string shared = SharedSectionId(aRequest.prompt);
  InstanceId home;
  if (aTraits != nullptr && !shared.empty()) {
    home = PreferredEngineOf(shared, usable, aRequest.rateLimited);
  }
  Placement best;
  double bestScore = std::numeric_limits<double>::max();
  for (const Backend* backend : usable) {
    const InstanceId& id = backend->entry.id;
    const bool holds =
      std::find(holders.begin(), holders.end(), id) != holders.end();
    std::uint64_t tokens = holds ? own : all;
    if (!holds && id == home) {
      tokens = own + static_cast<std::uint64_t>(kPreferredUncachedShare *
                                                static_cast<double>(all - own));
    }
    const double expected = this->ExpectedMs(*backend, tokens);
    double score = expected;
    score += backend->entry.zone == this->zone ? 0 : kCrossZoneCostMs;
    score += home.Empty() || id == home || holds ? 0 : kPreferredEngineBonusMs;
    if (score < bestScore) {
      bestScore = score;
      const double room = backend->entry.slots * (1 + kQueueShare);
      best = Placement{ backend->entry.id,
                        expected,
                        tokens,
                        static_cast<std::uint64_t>(std::max<std::int64_t>(
                          0,
                          backend->localLoad.promptTokens +
                            backend->remoteLoad.promptTokens)),
                        static_cast<double>(backend->TotalRunning()) >= room };
    }
  }
  return best;
}

void
Placer::RecordResponseStart(double aTokens, double aMs)
{
  constexpr double kLeastTokens = 2000; // shorter prompts show other delays
  constexpr double kStep = 0.03;        // a change of speed shows in 30 answers
  if (aTokens < kLeastTokens || aMs <= 0) {
    return;
  }
  // A step up or down a fixed part leads to the middle one of what is seen.
  // Some answers find their prompt read already and others wait for what is
  // not known here; a mean would follow these.
  const bool faster = aTokens / aMs > this->speed.promptTokensPerMs;
  this->speed.promptTokensPerMs *= faster ? 1 + kStep : 1 / (1 + kStep);
}

} // namespace toucanshed
