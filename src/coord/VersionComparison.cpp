#include "VersionComparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucanshed {

namespace {

struct Proportion
{
  std::uint64_t hits = 0;
  std::uint64_t total = 0;
};

/** Least observations of the old version before it is a reference. */
constexpr std::uint64_t kMinReference = 20;
/** Tests made per step and route: errors, two quantiles each of first token and
 * gap. */
constexpr double kTestsPerStratum = 5;
constexpr double kMedian = 0.5;
constexpr double kHigh = 0.9;

/** Upper end of the 95 % Wilson interval of a share. */
double
UpperBound(const Proportion& aShare)
{
  constexpr double kZ = 1.96;
  const auto n = static_cast<double>(aShare.total);
  if (n == 0) {
    return 1;
  }
  const double p = static_cast<double>(aShare.hits) / n;
  const double z2 = kZ * kZ;
  const double middle = p + z2 / (2 * n);
  const double spread = kZ * std::sqrt(p * (1 - p) / n + z2 / (4 * n * n));
  return std::min(1.0, (middle + spread) / (1 + z2 / n));
}

double
LogBeta(double aLeft, double aRight)
{
  return std::lgamma(aLeft) + std::lgamma(aRight) - std::lgamma(aLeft + aRight);
}

/** Logarithm of the likelihood ratio of a uniform mixture against aReference;
 * zero unless the share seen lies above it. */
double
LogLikelihoodRatio(const Proportion& aSeen, double aReference)
{
  const auto n = static_cast<double>(aSeen.total);
  const auto k = static_cast<double>(aSeen.hits);
  if (n == 0 || aReference >= 1 || k / n <= aReference) {
    return 0;
  }
  const double mixture = LogBeta(k + 1, n - k + 1);
  const double reference =
    k * std::log(aReference) + (n - k) * std::log1p(-aReference);
  return mixture - reference;
}

Proportion
ErrorProportion(const Tally& aTally)
{
  return Proportion{ aTally.errors, aTally.requests };
}

Proportion
ProportionAbove(const LatencyHistogram& aCounts, std::size_t aBucket)
{
  const auto all =
    std::accumulate(aCounts.begin(), aCounts.end(), std::uint64_t{ 0 });
  return Proportion{ CountAbove(aCounts, aBucket), all };
}

double
LatencyLogRatio(const LatencyHistogram& aOld,
                const LatencyHistogram& aNew,
                double aQuantile,
                double aMargin)
{
  const std::size_t bucket = QuantileBucket(aOld, aQuantile);
  const Proportion reference = ProportionAbove(aOld, bucket);
  if (reference.total < kMinReference) {
    return 0;
  }
  const double limit = std::min(1.0, UpperBound(reference) + aMargin);
  return LogLikelihoodRatio(ProportionAbove(aNew, bucket), limit);
}

/** The share of errors that is no fault of the new version.
 * \param aOld the old version in the same step, \param aOldEver in all. */
double
ErrorLimit(const Tally& aOld,
           const Tally& aOldEver,
           const VersionComparisonLimits& aLimits)
{
  // Before the old version has served enough to be a reference, errors are
  // compared with a share that no working version reaches.
  constexpr double kUnknownErrorRate = 0.2;
  constexpr std::uint64_t kSureReference = 200;
  if (aOld.requests >= kSureReference) {
    return UpperBound(ErrorProportion(aOld)) + aLimits.errorMargin;
  }
  // Late in a move the old version has few requests. Its errors over the whole
  // move are a closer reference than so few, with twice the margin for what
  // may have changed since.
  if (aOldEver.requests >= kMinReference) {
    return UpperBound(ErrorProportion(aOldEver)) + 2 * aLimits.errorMargin;
  }
  return kUnknownErrorRate;
}

/** The strongest evidence against a version in one stratum. */
struct Regression
{
  double logRatio = 0; // logarithm of the likelihood ratio
  std::string symptom;

  void Consider(double aEvidence, const char* aFault)
  {
    if (aEvidence > this->logRatio) {
      this->logRatio = aEvidence;
      this->symptom = aFault;
    }
  }
};

Regression
WorstRegression(const Tally& aOld,
                const Tally& aOldEver,
                const Tally& aNew,
                const VersionComparisonLimits& aLimits)
{
  Regression charge;
  const double errorLimit = ErrorLimit(aOld, aOldEver, aLimits);
  charge.Consider(LogLikelihoodRatio(ErrorProportion(aNew), errorLimit),
                  "errors");
  for (const double quantile : { kMedian, kHigh }) {
    charge.Consider(
      LatencyLogRatio(
        aOld.firstToken, aNew.firstToken, quantile, aLimits.latencyMargin),
      "slow first token");
    charge.Consider(
      LatencyLogRatio(
        aOld.tokenGap, aNew.tokenGap, quantile, aLimits.latencyMargin),
      "slow tokens");
  }
  return charge;
}

} // namespace

VersionVerdict
CompareVersions(const StratumTallies& aOld,
                const StratumTallies& aNew,
                const VersionComparisonLimits& aLimits)
{
  VersionVerdict finding;
  const double tests =
    kTestsPerStratum *
    static_cast<double>(std::max<std::size_t>(1, aNew.size()));
  const double bad = std::log(tests / aLimits.falseAlarmRate);
  const double doubtful = std::log(1 / aLimits.doubtfulFalseAlarmRate);
  std::map<std::string, Tally> oldEver;
  for (const auto& [stratum, tally] : aOld) {
    oldEver[stratum.route] += tally;
  }
  double worst = 0;
  for (const auto& [stratum, tally] : aNew) {
    finding.requests += tally.requests;
    const auto old = aOld.find(stratum);
    const Tally reference = old == aOld.end() ? Tally{} : old->second;
    const Regression charge =
      WorstRegression(reference, oldEver[stratum.route], tally, aLimits);
    if (charge.logRatio > worst) {
      worst = charge.logRatio;
      finding.reason = charge.symptom + " on route " + stratum.route;
    }
  }
  finding.bad = worst > bad;
  finding.doubtful = worst > doubtful;
  return finding;
}

} // namespace toucanshed
