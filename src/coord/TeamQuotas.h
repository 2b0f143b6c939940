/** \file
 * Divides the teams' limits between the daemons without a call per request.
 */
#pragma once

#include "base/Types.h"

#include <map>
#include <optional>

namespace toucanshed {

struct Catalog;
struct Team;

/**
 * Each daemon enforces a part of a team's limit, as large as its part of what
 * the team asks of all daemons. Equal parts would refuse within the limit,
 * since callers are spread unevenly; a call to the store for each request
 * would cost more than the request.
 *
 * Thread safety: none; the owner serialises.
 */
class TeamQuotas
{
public:
  /** Time over which demand is averaged. Short enough to follow a burst of
   * seconds, long enough that single large prompts do not sway it. */
  static constexpr Millis kDemandTime{ 2000 };
  /** Part of a limit that a daemon has without any demand yet, so that a
   * team's first requests at a daemon are not refused. */
  static constexpr double kLeastPart = 0.02;

  /** Takes the limits in force. Teams that stay keep what they have used. */
  void Configure(const Catalog& aCatalog, TimePoint aNow);
  /** How many daemons there are, this one with them, and what the others are
   * asked for, a second. */
  void SetOthers(std::size_t aDaemons, const std::map<TeamId, double>& aDemand);

  /** Takes aCost from the team's part of the limit.
   * \return how long to wait when there is too little left. */
  std::optional<Millis> Take(const Team& aTeam, double aCost, TimePoint aNow);
  /** Gives back what was taken for a request that has not run. */
  void GiveBack(const TeamId& aTeam, double aCost);

  /** What each team asks of this daemon, a second. */
  [[nodiscard]] std::map<TeamId, double> Demand(TimePoint aNow) const;

private:
  struct Bucket
  {
    double level = 0;
    double rate = 0;  // of the whole limit
    double burst = 0; // of the whole limit
    double demand = 0;
    double othersDemand = 0;
    TimePoint filled;
    TimePoint asked;
  };

  [[nodiscard]] double PartOf(const Bucket& aBucket, TimePoint aNow) const;
  static double DecayedDemand(const Bucket& aBucket, TimePoint aNow);
  void Fill(Bucket& aBucket, TimePoint aNow) const;

  std::map<TeamId, Bucket> buckets;
  std::size_t daemons = 1;
};

} // namespace toucanshed
