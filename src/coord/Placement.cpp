#include "Placement.h"

#include "Catalog.h"
#include "base/Hash.h"

#include <algorithm>
#include <limits>

namespace toucanshed {

namespace {

/** Engines that keep one shared part. Two, so that the loss of one does not
 * send all its requests to engines that must read the part first. */
constexpr std::size_t kHomes = 2;
/** A failing engine's expected time is stretched as if each failure in its
 * newest answers cost this; about the time until a caller comes back. */
constexpr double kFailureCostMs = 1500;
/** Crossing into another failure domain and back, in milliseconds, with the
 * price of the bytes; breaks ties only. */
constexpr double kCrossingMs = 2;
/** Requests at once beyond an engine's slots that may wait in it; they cannot
 * be refused or moved from there. As a share of the slots. */
constexpr double kQueueShare = 0.1;

bool
Usable(const Backend& aBackend,
       const PlacementRequest& aRequest,
       TimePoint aNow)
{
  return !aBackend.leaving && aBackend.pausedUntil <= aNow &&
         !aBackend.Stalled(aNow) &&
         !aRequest.passedOver.contains(aBackend.entry.id);
}

/** The longest run of parts that other requests may share, as one key: all but
 * the request's own last part. */
std::string
SharedKey(const std::vector<PromptPart>& aPrompt)
{
  if (aPrompt.size() < 2) {
    return {};
  }
  return aPrompt[aPrompt.size() - 2].id;
}

/** The back ends that keep aKey, best first. */
std::vector<InstanceId>
HomesOf(const std::string& aKey, const std::vector<Backend*>& aUsable)
{
  std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
  ranked.reserve(aUsable.size());
  const std::uint64_t key = Hash64(aKey);
  for (const Backend* backend : aUsable) {
    ranked.emplace_back(MixHash(key, Hash64(backend->entry.id.value)),
                        backend->entry.id);
  }
  const std::size_t most = std::min(kHomes, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(most),
                    ranked.end(),
                    std::greater<>());
  std::vector<InstanceId> homes;
  for (std::size_t i = 0; i < most; ++i) {
    homes.push_back(ranked[i].second);
  }
  return homes;
}

std::uint64_t
TokensOf(const std::vector<PromptPart>& aPrompt)
{
  std::uint64_t tokens = 0;
  for (const PromptPart& part : aPrompt) {
    tokens += part.tokens;
  }
  return tokens;
}

} // namespace

double
Placer::ExpectedMs(const Backend& aBackend, std::uint64_t aTokens) const
{
  const double reading = static_cast<double>(aBackend.own.promptTokens +
                                             aBackend.others.promptTokens) +
                         static_cast<double>(aTokens);
  const double slots = std::max(1U, aBackend.entry.slots);
  const double fill = static_cast<double>(aBackend.Running()) / slots;
  // Each running request makes every step a little longer.
  const double steps = this->speed.tokenMs * (1 + fill);
  const double over = std::max(0.0, fill - 1) * slots * this->speed.tokenMs;
  return aBackend.slowness * (reading / this->speed.promptTokensPerMs + steps) +
         over * 10 + aBackend.failureShare * kFailureCostMs;
}

std::optional<Placement>
Placer::Choose(const std::vector<Backend*>& aBackends,
               const PlacementRequest& aRequest,
               const EngineTraits* aTraits,
               TimePoint aNow) const
{
  std::vector<Backend*> usable;
  for (Backend* backend : aBackends) {
    if (Usable(*backend, aRequest, aNow)) {
      usable.push_back(backend);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const std::uint64_t all = TokensOf(aRequest.prompt);
  const std::uint64_t own =
    aRequest.prompt.empty() ? 0 : aRequest.prompt.back().tokens;
  std::vector<InstanceId> homes;
  const std::string shared = SharedKey(aRequest.prompt);
  if (aTraits != nullptr && !shared.empty()) {
    homes = HomesOf(shared, usable);
  }
  Placement best;
  double bestScore = std::numeric_limits<double>::max();
  for (const Backend* backend : usable) {
    const bool home =
      std::find(homes.begin(), homes.end(), backend->entry.id) != homes.end();
    const std::uint64_t tokens = home ? own : all;
    const double expected = this->ExpectedMs(*backend, tokens);
    const double score =
      expected + (backend->entry.zone == this->zone ? 0 : kCrossingMs);
    if (score < bestScore) {
      bestScore = score;
      const double room = backend->entry.slots * (1 + kQueueShare);
      best = Placement{
        backend->entry.id,
        expected,
        tokens,
        static_cast<std::uint64_t>(std::max<std::int64_t>(
          0, backend->own.promptTokens + backend->others.promptTokens)),
        static_cast<double>(backend->Running()) >= room
      };
    }
  }
  return best;
}

void
Placer::Began(double aTokens, double aMs)
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
