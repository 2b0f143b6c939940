/** \file
 * The priorities that requests of one service can have.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <map>

namespace toucanshed {

struct Catalog;

/**
 * The priorities of a service's routes and of the teams that have their own,
 * with the smallest latency target at each.
 *
 * Thread safety: immutable; no locks.
 */
class ServicePriorities
{
public:
  ServicePriorities(const Catalog& aCatalog, const ServiceId& aService);

  /** Number of priorities more urgent than this one; 0 for the most urgent.
   * Priorities out of range are limited. */
  [[nodiscard]] std::size_t RankOf(int aPriority) const;
  /** Smallest target of the more urgent requests; 0 when there is none. */
  [[nodiscard]] Millis UrgentTarget(int aPriority) const;
  /** Whether all requests have the same priority and one team. */
  [[nodiscard]] bool AreEqual() const
  {
    return this->targets.size() <= 1 && this->hasOneTeam;
  }

private:
  /** Records a priority; a target of 0 is none. */
  void Add(int aPriority, Millis aTarget);

  std::map<int, Millis> targets; // smallest at each priority; 0: none
  bool hasOneTeam = true;
};

} // namespace toucanshed
