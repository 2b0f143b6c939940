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

/** Minimum number of observations of the old version for a reference. */
constexpr std::uint64_t kMinReference = 20;
/** Tests for each step and route: errors, and two quantiles each of first token
 * latency and token gap. */
constexpr double kTestsPerStratum = 5;
constexpr double kMedianQuantile = 0.5;
constexpr double kHighQuantile = 0.9;

/** Upper end of the 95 % Wilson interval of a proportion. */
double
UpperBound(const Proportion& aProportion)
{
  constexpr double kZ = 1.96;
  const auto n = static_cast<double>(aProportion.total);
  if (n == 0) {
    return 1;
  }
  const double p = static_cast<double>(aProportion.hits) / n;
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
 * zero unless the observed proportion exceeds aReference. */
double
LogLikelihoodRatio(const Proportion& aObserved, double aReference)
{
  const auto n = static_cast<double>(aObserved.total);
  const auto k = static_cast<double>(aObserved.hits);
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

/** Returns the proportion of errors that is tolerated in the new version.
 * \param aOld the old version in the same step
 * \param aOldAllSteps the old version in all steps */
double
ErrorLimit(const Tally& aOld,
           const Tally& aOldAllSteps,
           const VersionComparisonLimits& aLimits)
{
  // Until the old version has served enough requests for a reference, errors
  // are compared with a proportion that no working version reaches.
  constexpr double kUnknownErrorRate = 0.2;
  constexpr std::uint64_t kReliableReference = 200;
  if (aOld.requests >= kReliableReference) {
    return UpperBound(ErrorProportion(aOld)) + aLimits.errorMargin;
  }
  // Late in a rollout the old version has few requests. Its errors over the
  // whole rollout are then the more precise reference. The margin is doubled,
  // as conditions may have changed since.
  if (aOldAllSteps.requests >= kMinReference) {
    return UpperBound(ErrorProportion(aOldAllSteps)) + 2 * aLimits.errorMargin;
  }
  return kUnknownErrorRate;
}

/** The strongest evidence against a version in one stratum. */
struct Regression
{
  double logRatio = 0; // logarithm of the likelihood ratio
  std::string symptom;

  void Consider(double aLogRatio, const char* aSymptom)
  {
    if (aLogRatio > this->logRatio) {
      this->logRatio = aLogRatio;
      this->symptom = aSymptom;
    }
  }
};

Regression
WorstRegression(const Tally& aOld,
                const Tally& aOldAllSteps,
                const Tally& aNew,
                const VersionComparisonLimits& aLimits)
{
  Regression regression;
  const double errorLimit = ErrorLimit(aOld, aOldAllSteps, aLimits);
  regression.Consider(LogLikelihoodRatio(ErrorProportion(aNew), errorLimit),
                      "errors");
  for (const double quantile : { kMedianQuantile, kHighQuantile }) {
    regression.Consider(
      LatencyLogRatio(
        aOld.firstToken, aNew.firstToken, quantile, aLimits.latencyMargin),
      "slow first token");
    regression.Consider(
      LatencyLogRatio(
        aOld.tokenGap, aNew.tokenGap, quantile, aLimits.latencyMargin),
      "slow tokens");
  }
  return regression;
}

} // namespace

VersionVerdict
CompareVersions(const StratumTallies& aOld,
                const StratumTallies& aNew,
                const VersionComparisonLimits& aLimits)
{
  VersionVerdict verdict;
  const double tests =
    kTestsPerStratum *
    static_cast<double>(std::max<std::size_t>(1, aNew.size()));
  const double badThreshold = std::log(tests / aLimits.falseAlarmRate);
  const double doubtfulThreshold = std::log(1 / aLimits.doubtfulFalseAlarmRate);
  std::map<std::string, Tally> oldByRoute;
  for (const auto& [stratum, tally] : aOld) {
    oldByRoute[stratum.route] += tally;
  }
  double maxLogRatio = 0;
  for (const auto& [stratum, tally] : aNew) {
    verdict.requests += tally.requests;
    const auto old = aOld.find(stratum);
    const Tally reference = old == aOld.end() ? Tally{} : old->second;
    const Regression regression =
      WorstRegression(reference, oldByRoute[stratum.route], tally, aLimits);
    if (regression.logRatio > maxLogRatio) {
      maxLogRatio = regression.logRatio;
      verdict.reason = regression.symptom + " on route " + stratum.route;
    }
  }
  verdict.bad = maxLogRatio > badThreshold;
  verdict.doubtful = maxLogRatio > doubtfulThreshold;
  return verdict;
}

} // namespace toucanshed
