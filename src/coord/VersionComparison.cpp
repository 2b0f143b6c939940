#include "VersionComparison.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>
#include <string>

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
/** Routes with a smaller share of the old version's requests may end a rollout
 * unobserved. */
constexpr double kMinRouteShare = 0.1;
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
 * at most zero unless the observed proportion exceeds aReference. */
double
LogLikelihoodRatio(const Proportion& aObserved, double aReference)
{
  const auto n = static_cast<double>(aObserved.total);
  const auto k = static_cast<double>(aObserved.hits);
  if (n == 0 || aReference >= 1) {
    return 0;
  }
  const double mixture = LogBeta(k + 1, n - k + 1);
  const double reference =
    k * std::log(aReference) + (n - k) * std::log1p(-aReference);
  const double ratio = mixture - reference;
  return k / n > aReference ? ratio : std::min(0.0, ratio);
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

/** Latencies of a version: of requests that were answered, and lower bounds of
 * the others'. */
struct Latencies
{
  const LatencyHistogram& answered;
  const LatencyHistogram& unanswered;

  [[nodiscard]] Proportion Above(std::size_t aBucket) const
  {
    Proportion above = ProportionAbove(this->answered, aBucket);
    const std::uint64_t running = CountAbove(this->unanswered, aBucket);
    above.hits += running;
    above.total += running;
    return above;
  }
};

/** The old version's latencies above one of its quantiles. */
struct LatencyReference
{
  std::size_t bucket = 0; // that contains the quantile
  double limit = 1;       // tolerated proportion above it
};

/** Returns nullopt while too few are known. */
std::optional<LatencyReference>
ReferenceOf(const Latencies& aOld, double aQuantile, double aMargin)
{
  LatencyReference reference;
  reference.bucket = QuantileBucket(aOld.answered, aQuantile);
  const Proportion above = aOld.Above(reference.bucket);
  if (above.total < kMinReference) {
    return std::nullopt;
  }
  reference.limit = std::min(1.0, UpperBound(above) + aMargin);
  return reference;
}

double
LatencyLogRatio(const Latencies& aOld,
                const Latencies& aNew,
                double aQuantile,
                double aMargin)
{
  const auto reference = ReferenceOf(aOld, aQuantile, aMargin);
  return reference
           ? LogLikelihoodRatio(aNew.Above(reference->bucket), reference->limit)
           : 0;
}

/** Whether the new version would be doubtful if all of its requests on a route
 * had been slow. */
bool
WouldShowSlow(const Tally& aOld,
              const Tally& aNew,
              const VersionComparisonLimits& aLimits)
{
  const Latencies old{ aOld.firstToken, aOld.unanswered };
  const Latencies observed{ aNew.firstToken, aNew.unanswered };
  const auto reference = ReferenceOf(old, kHighQuantile, aLimits.latencyMargin);
  if (!reference) {
    return false;
  }
  const std::uint64_t total = observed.Above(reference->bucket).total;
  return LogLikelihoodRatio(Proportion{ total, total }, reference->limit) >
         std::log(1 / aLimits.doubtfulFalseAlarmRate);
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

/** What is compared of two versions. */
enum class Symptom
{
  eErrors,
  eFirstTokenMedian,
  eFirstTokenHigh,
  eTokenGapMedian,
  eTokenGapHigh,
};

const char*
NameOf(Symptom aSymptom)
{
  switch (aSymptom) {
    case Symptom::eErrors:
      return "errors";
    case Symptom::eFirstTokenMedian:
    case Symptom::eFirstTokenHigh:
      return "slow first token";
    case Symptom::eTokenGapMedian:
    case Symptom::eTokenGapHigh:
      return "slow tokens";
  }
  return "unknown";
}

/** Logarithms of the likelihood ratios of one stratum, or of several. */
using LogRatios = std::map<Symptom, double>;

LogRatios
CompareTallies(const Tally& aOld,
               const Tally& aOldAllSteps,
               const Tally& aNew,
               const VersionComparisonLimits& aLimits)
{
  const LatencyHistogram none{};
  const Latencies oldFirst{ aOld.firstToken, aOld.unanswered };
  const Latencies newFirst{ aNew.firstToken, aNew.unanswered };
  const Latencies oldGap{ aOld.tokenGap, none };
  const Latencies newGap{ aNew.tokenGap, none };
  const double margin = aLimits.latencyMargin;
  const double errorLimit = ErrorLimit(aOld, aOldAllSteps, aLimits);
  return {
    { Symptom::eErrors, LogLikelihoodRatio(ErrorProportion(aNew), errorLimit) },
    { Symptom::eFirstTokenMedian,
      LatencyLogRatio(oldFirst, newFirst, kMedianQuantile, margin) },
    { Symptom::eFirstTokenHigh,
      LatencyLogRatio(oldFirst, newFirst, kHighQuantile, margin) },
    { Symptom::eTokenGapMedian,
      LatencyLogRatio(oldGap, newGap, kMedianQuantile, margin) },
    { Symptom::eTokenGapHigh,
      LatencyLogRatio(oldGap, newGap, kHighQuantile, margin) },
  };
}

/** The strongest evidence against a version. */
struct Regression
{
  void Consider(const LogRatios& aRatios, const std::string& aWhere)
  {
    for (const auto& [symptom, ratio] : aRatios) {
      if (ratio > this->logRatio) {
        this->logRatio = ratio;
        this->reason = std::string(NameOf(symptom)).append(aWhere);
      }
    }
  }

  double logRatio = 0; // logarithm of the likelihood ratio
  std::string reason;
};

/** Whether the new version would be doubtful if half of the requests that have
 * ended had failed. */
bool
WouldShowErrors(const Tally& aOld,
                const Tally& aNew,
                const VersionComparisonLimits& aLimits)
{
  const std::uint64_t half = (aNew.requests + 1) / 2;
  return LogLikelihoodRatio(Proportion{ half, aNew.requests },
                            ErrorLimit(aOld, aOld, aLimits)) >
         std::log(1 / aLimits.doubtfulFalseAlarmRate);
}

Tally
SumOf(const std::map<std::string, Tally>& aByRoute)
{
  Tally sum;
  for (const auto& [route, tally] : aByRoute) {
    sum += tally;
  }
  return sum;
}

/** Whether enough of the new version was observed on each route that gets many
 * of the old version's requests. */
bool
IsConclusive(const std::map<std::string, Tally>& aOldByRoute,
             const std::map<std::string, Tally>& aNewByRoute,
             const VersionComparisonLimits& aLimits)
{
  const Tally old = SumOf(aOldByRoute);
  const bool isEnough = old.requests >= kMinReference &&
                        WouldShowErrors(old, SumOf(aNewByRoute), aLimits);
  if (!isEnough) {
    return false;
  }
  return std::all_of(
    aOldByRoute.begin(), aOldByRoute.end(), [&](const auto& aEntry) {
      const bool isMinor = static_cast<double>(aEntry.second.requests) <
                           kMinRouteShare * static_cast<double>(old.requests);
      const auto observed = aNewByRoute.find(aEntry.first);
      return isMinor ||
             (observed != aNewByRoute.end() &&
              WouldShowSlow(aEntry.second, observed->second, aLimits));
    });
}

} // namespace

VersionVerdict
CompareVersions(const StratumTallies& aOld,
                const StratumTallies& aNew,
                const VersionComparisonLimits& aLimits)
{
  VersionVerdict verdict;
  // Several strata are tested together, too.
  const std::size_t groups = aNew.size() + (aNew.size() > 1 ? 1 : 0);
  const double tests =
    kTestsPerStratum * static_cast<double>(std::max<std::size_t>(1, groups));
  const double badThreshold = std::log(tests / aLimits.falseAlarmRate);
  const double doubtfulThreshold = std::log(1 / aLimits.doubtfulFalseAlarmRate);
  std::map<std::string, Tally> oldByRoute;
  for (const auto& [stratum, tally] : aOld) {
    oldByRoute[stratum.route] += tally;
  }
  std::map<std::string, Tally> newByRoute;
  Regression worst;
  LogRatios overall;
  for (const auto& [stratum, tally] : aNew) {
    verdict.requests += tally.requests;
    newByRoute[stratum.route] += tally;
    const auto old = aOld.find(stratum);
    const Tally reference = old == aOld.end() ? Tally{} : old->second;
    const LogRatios ratios =
      CompareTallies(reference, oldByRoute[stratum.route], tally, aLimits);
    worst.Consider(ratios, " on route " + stratum.route);
    for (const auto& [symptom, ratio] : ratios) {
      overall[symptom] += ratio;
    }
  }
  worst.Consider(overall, " on all routes");
  verdict.reason = worst.reason;
  verdict.bad = worst.logRatio > badThreshold;
  verdict.doubtful = worst.logRatio > doubtfulThreshold;
  verdict.conclusive = IsConclusive(oldByRoute, newByRoute, aLimits);
  return verdict;
}

} // namespace toucanshed
