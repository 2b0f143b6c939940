/** \file
 * The offered load of a service by failure domain of the daemons and priority.
 */
#pragma once

#include "Priority.h"
#include "base/Types.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>

namespace toucanshed {

/** The offered load of one priority. Requests count once, when they are
 * admitted. */
struct PriorityDemand
{
  double requestsPerS = 0;
  double promptTokensPerS = 0;     // that engines have to prefill
  double longPromptTokensPerS = 0; // of them, those of long prompts
  double slots = 0;                // slots that it keeps busy
  double longPromptSlots = 0;      // of them, those of long prompts

  PriorityDemand& operator+=(const PriorityDemand& aOther)
  {
    this->requestsPerS += aOther.requestsPerS;
    this->promptTokensPerS += aOther.promptTokensPerS;
    this->longPromptTokensPerS += aOther.longPromptTokensPerS;
    this->slots += aOther.slots;
    this->longPromptSlots += aOther.longPromptSlots;
    return *this;
  }
};

using DemandByPriority = std::array<PriorityDemand, kPriorityCount>;

/** Sum over several daemons. */
struct ServiceDemand
{
  std::map<ZoneId, DemandByPriority> byZone;
  /** Prompt tokens of daemons that report no priorities. */
  double unclassifiedTokensPerS = 0;

  void Add(const ZoneId& aZone, const DemandByPriority& aDemand)
  {
    DemandByPriority& sum = this->byZone[aZone];
    for (std::size_t i = 0; i < kPriorityCount; ++i) {
      sum.at(i) += aDemand.at(i);
    }
  }
  /** Over all failure domains, without what has no priority. */
  [[nodiscard]] DemandByPriority ByPriority() const
  {
    DemandByPriority sum{};
    for (const auto& [zone, demand] : this->byZone) {
      for (std::size_t i = 0; i < kPriorityCount; ++i) {
        sum.at(i) += demand.at(i);
      }
    }
    return sum;
  }
  /** Everything. Daemons that report no priorities are assumed to have requests
   * like those of the others. */
  [[nodiscard]] PriorityDemand Total() const
  {
    PriorityDemand total;
    for (const PriorityDemand& demand : this->ByPriority()) {
      total += demand;
    }
    const double classified = total.promptTokensPerS;
    if (classified <= 0) {
      total.promptTokensPerS = this->unclassifiedTokensPerS;
      return total;
    }
    const double factor = 1 + this->unclassifiedTokensPerS / classified;
    total.requestsPerS *= factor;
    total.promptTokensPerS *= factor;
    total.longPromptTokensPerS *= factor;
    total.slots *= factor;
    total.longPromptSlots *= factor;
    return total;
  }
};

} // namespace toucanshed
