/** \file
 * Divides a service's engines into a pool for long prompts and one for the
 * others.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace toucanshed {

struct Backend;
struct Catalog;

/** Whether a prompt is long: its prefill takes more than a quarter of the
 * smallest latency target of its service. One that arrives just before another
 * request takes much of that one's time.
 * \param aSmallestTarget of the service's routes; 0: none has one */
bool
IsLongPrompt(double aTokens, double aTokensPerMs, Millis aSmallestTarget);

/** The smallest latency target of the routes that lead to the service; 0 when
 * none has one. */
Millis
SmallestTarget(const Catalog& aCatalog, const ServiceId& aService);

/**
 * An engine cannot report in time that a long prompt has arrived from another
 * daemon, so that a short one is sent behind it and begins late. Pools make
 * that unlikely.
 *
 * The engines are ranked by a hash, the same at each daemon, and the first ones
 * form the pool for long prompts. Daemons that disagree about its size by one
 * engine disagree about that engine only, and when an engine appears or goes,
 * at most one other changes its pool.
 *
 * Thread safety: none; the owner serialises.
 */
class PromptPools
{
public:
  /** A change of the pool's size leaves cached sections behind, so there is at
   * most one in this time. */
  static constexpr Millis kResizeInterval{ 5000 };
  /** The pool's size is a multiple of this fraction of the engines. */
  static constexpr double kSizeStep = 1.0 / 32;
  /** A smaller pool would send all long prompts to one engine. */
  static constexpr std::size_t kMinEngines = 2;
  /** Membership is decided again after this time. */
  static constexpr Millis kUpdateInterval{ 250 };

  /** Marks the engines with their pools, at most once in kUpdateInterval.
   * \param aLongShare part of the required capacity that long prompts make up;
   *   nothing: the service has no pools
   * \return whether they were decided again */
  bool Update(const std::vector<Backend*>& aEngines,
              std::optional<double> aLongShare,
              TimePoint aNow);

  [[nodiscard]] bool IsDue(TimePoint aNow) const
  {
    return !this->updatedAt || aNow - *this->updatedAt >= kUpdateInterval;
  }
  /** Whether the engines are divided. */
  [[nodiscard]] bool Active() const { return this->active; }

private:
  void Resize(double aLongShare, TimePoint aNow);

  bool active = false;
  std::optional<double> size; // of the pool, as a fraction of the engines
  TimePoint resizedAt;
  std::optional<TimePoint> updatedAt;
};

} // namespace toucanshed
