/** \file
 * The sequential test that tells a bad version from noise.
 */
#pragma once

#include "Evidence.h"

#include <string>

namespace toucanshed {

/** What the evidence says of a new version. */
struct VersionVerdict
{
  bool bad = false;
  /** Not bad yet, but worse than chance would often have it: no time to give
   * the version more traffic. */
  bool doubtful = false;
  std::string reason;         // of the strongest doubt
  std::uint64_t requests = 0; // seen on the new version
};

/**
 * How sure the test must be, and what difference is none.
 *
 * The chance that a version as good as the old one is ever found bad is at
 * most `falseAlarm`, however often one looks, up to how well the old
 * version's own rate is known.
 */
struct VersionComparisonLimits
{
  double falseAlarmRate = 0.001;
  double doubtfulFalseAlarmRate = 0.15; // the same, for a finding of doubtful
  double errorMargin = 0.01;            // share of requests
  double latencyMargin = 0.12; // share of requests above the old quantile
};

/**
 * Compares the new version with the old one that served at the same time, so
 * that a lunch peak or a lost zone, which slows both, condemns neither. Each
 * step of the move and each route is tested by itself: over several steps the
 * two are not concurrent, and a fault on one route drowns in the sum.
 *
 * Errors, slow first tokens and slow token gaps are each a test on a share:
 * that of the new version against the old one's plus a margin. The statistic
 * is the likelihood ratio of a uniform mixture over worse shares against the
 * reference share; it is a non-negative martingale under the reference, so by
 * Ville's inequality one may look after every request.
 *
 * \code
 * const VersionFinding finding = TestVersion(old, fresh, {});
 * if (finding.bad) { takeBack(finding.reason); }
 * \endcode
 *
 * Thread safety: pure function.
 */
VersionVerdict
CompareVersions(const StratumTallies& aOld,
                const StratumTallies& aNew,
                const VersionComparisonLimits& aLimits);

} // namespace toucanshed
