#include "PromptPools.h"

#include "BackendTable.h"
#include "Catalog.h"
#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace toucanshed {

namespace {

/** Distinguishes the pools' ranks from those of preferred engines. */
constexpr std::uint64_t kPoolKey = 0x706f6f6cU;

} // namespace

bool
IsLongPrompt(double aTokens, double aTokensPerMs, Millis aSmallestTarget)
{
  constexpr double kTargetShare = 0.25;
  const auto target = static_cast<double>(aSmallestTarget.count());
  return target > 0 && aTokensPerMs > 0 &&
         aTokens / aTokensPerMs > kTargetShare * target;
}

Millis
SmallestTarget(const Catalog& aCatalog, const ServiceId& aService)
{
  Millis smallest{ 0 };
  for (const Route& route : aCatalog.routes) {
    const bool leadsThere = std::any_of(
      route.targets.begin(), route.targets.end(), [&](const RouteTarget& aTo) {
        return aTo.service == aService;
      });
    const bool isSmaller =
      leadsThere && route.latencyTarget > Millis(0) &&
      (smallest == Millis(0) || route.latencyTarget < smallest);
    smallest = isSmaller ? route.latencyTarget : smallest;
  }
  return smallest;
}

void
PromptPools::Resize(double aLongShare, TimePoint aNow)
{
  // Half a step more than a step's half: a share on the border of two sizes
  // changes nothing.
  constexpr double kDeadBand = 0.75 * kSizeStep;
  const double wanted = std::clamp(aLongShare, 0.0, 1.0 - kSizeStep);
  const double rounded = std::round(wanted / kSizeStep) * kSizeStep;
  if (!this->size) {
    this->size = rounded;
    this->resizedAt = aNow;
    return;
  }
  const double difference = wanted - *this->size;
  const bool due = aNow - this->resizedAt >= kResizeInterval;
  if (!due || std::abs(difference) < kDeadBand) {
    return;
  }
  // Small steps leave most cached sections in their pool. A pool that is far
  // from its size is of little use, so it gets there within some steps.
  constexpr double kMaxSteps = 4;
  const double steps =
    std::clamp((rounded - *this->size) / kSizeStep, -kMaxSteps, kMaxSteps);
  *this->size += std::round(steps) * kSizeStep;
  this->resizedAt = aNow;
}

bool
PromptPools::Update(const std::vector<Backend*>& aEngines,
                    std::optional<double> aLongShare,
                    TimePoint aNow)
{
  if (!this->IsDue(aNow)) {
    return false;
  }
  this->updatedAt = aNow;
  this->active = false;
  if (!aLongShare || !std::isfinite(*aLongShare)) {
    this->size.reset();
    return true;
  }
  this->Resize(*aLongShare, aNow);
  std::vector<std::pair<std::uint64_t, Backend*>> ranked;
  ranked.reserve(aEngines.size());
  for (Backend* engine : aEngines) {
    engine->inLongPool = false;
    if (!engine->leaving && !engine->graceUntil) {
      ranked.emplace_back(CombineHashes(kPoolKey, engine->idHash), engine);
    }
  }
  const auto count = static_cast<std::size_t>(
    std::lround(*this->size * static_cast<double>(ranked.size())));
  const bool tooSmall =
    count < kMinEngines || ranked.size() < count + kMinEngines;
  if (tooSmall) {
    return true;
  }
  std::nth_element(ranked.begin(),
                   ranked.begin() + static_cast<std::ptrdiff_t>(count),
                   ranked.end());
  for (std::size_t i = 0; i < count; ++i) {
    ranked[i].second->inLongPool = true;
  }
  this->active = true;
  return true;
}

} // namespace toucanshed
