/** \file
 * A sequential test that distinguishes a bad version from noise.
 */
#pragma once

#include "Evidence.h"

#include <string>

namespace toucanshed {

/** The result of comparing a new version with the old one. */
struct VersionVerdict
{
  bool bad = false;
  /** Not necessarily bad, but worse than chance often explains: the version
   * should not get more traffic. */
  bool doubtful = false;
  /** A bad version would be doubtful by now: enough of its requests were
   * observed on each route that gets many of the old version's. */
  bool conclusive = false;
  std::string reason;         // symptom and route of the worst regression
  std::uint64_t requests = 0; // observed on the new version
};

/**
 * The false alarm rates of the test and the differences that it tolerates.
 *
 * The probability that a version as good as the old one is ever found bad is at
 * most `falseAlarmRate`, however often the test is repeated. This holds up to
 * the precision with which the old version's own rate is known.
 */
struct VersionComparisonLimits
{
  double falseAlarmRate = 0.001;
  double doubtfulFalseAlarmRate = 0.15; // the same for `doubtful`
  double errorMargin = 0.01;            // share of requests
  double latencyMargin = 0.12; // share of requests above the old quantile
};

/**
 * Compares the new version with the old version over the same period. A load
 * peak or a lost failure domain slows both, so neither counts against the new
 * version. Each step of the rollout and each route is tested separately: over
 * several steps the requests of the two versions are not concurrent, and a
 * fault on one route is hidden in the sum over all routes. Then all are tested
 * together by the product of their ratios: a fault on all routes shows there
 * when each route has had a few requests.
 *
 * Errors, slow first tokens and slow token gaps are each tested as a
 * proportion: that of the new version against that of the old version plus a
 * margin. The statistic is the likelihood ratio of a uniform mixture over worse
 * proportions against the reference proportion. It is a non-negative martingale
 * under the reference, so by Ville's inequality the test may be repeated after
 * every request.
 *
 * A request that has run for longer than the old version's quantile without a
 * first token counts as slow; one that has run for less counts as neither.
 *
 * \code
 * const VersionVerdict verdict = CompareVersions(oldTallies, newTallies, {});
 * if (verdict.bad) { RollBack(verdict.reason); }
 * \endcode
 *
 * Thread safety: pure function.
 */
VersionVerdict
CompareVersions(const StratumTallies& aOld,
                const StratumTallies& aNew,
                const VersionComparisonLimits& aLimits);

} // namespace toucanshed
