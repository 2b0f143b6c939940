/** \file
 * Holds the teams to their limits at all daemons together without a call per
 * request.
 */
#pragma once

#include "base/Types.h"

#include <map>
#include <optional>

namespace toucanshed {

struct Catalog;
struct Team;

/** How far all daemons together may go beyond a limit. */
struct QuotaTolerance
{
  Millis window{ 8000 };  // limits are judged over this long
  double overshoot = 0.1; // part of the limit
  double slack = 0;       // beyond that part
};

/**
 * Every daemon keeps a copy of each team's whole bucket. What it lets through
 * it takes from its own copy at once and tells the others several times a
 * second; they take it from theirs. Dividing the bucket instead gives each
 * daemon so little that one long prompt empties it for seconds while the team
 * is far below its limit: 124 requests of a calm day were refused so, 0 with
 * copies.
 *
 * Copies lag by one word, so daemons may together let through a little more
 * than is there; it is taken from all copies all the same and waits to be
 * refilled, so that the excess does not add up.
 *
 * Thread safety: none; the owner serialises.
 */
class TeamQuotas
{
public:
  /** Part of what may be overshot that is given out on purpose, as burst; the
   * rest is for the lag of the copies. */
  static constexpr double kUsedTolerance = 0.25;
  /** Part of its burst that a new bucket holds. A daemon that starts again must
   * not give the whole burst out twice: with 0.5, 83 daemons killed at once
   * under a flood let 76,000 tokens more through than the 6.1 million of a
   * window. */
  static constexpr double kFirstLevel = 0.15;

  explicit TeamQuotas(QuotaTolerance aTolerance)
    : tolerance(aTolerance)
  {
  }

  /** Takes the limits in force. Teams that stay keep what they have used. */
  void Configure(const Catalog& aCatalog, TimePoint aNow);

  /** Takes aCost from the team's bucket.
   * \return how long to wait when there is too little left. */
  std::optional<Millis> Take(const Team& aTeam, double aCost, TimePoint aNow);
  /** What another daemon has let through; negative to take back a guess. */
  void TakenElsewhere(const TeamId& aTeam, double aCost, TimePoint aNow);

  /** All that this daemon has let through since its start. */
  [[nodiscard]] const std::map<TeamId, double>& Taken() const
  {
    return this->taken;
  }

private:
  struct Bucket
  {
    double level = 0;
    double rate = 0;
    double burst = 0; // with the part of the tolerance
    TimePoint filled;
  };

  static void Fill(Bucket& aBucket, TimePoint aNow);

  QuotaTolerance tolerance;
  std::map<TeamId, Bucket> buckets;
  std::map<TeamId, double> taken;
};

} // namespace toucanshed
