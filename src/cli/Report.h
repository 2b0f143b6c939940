/** \file
 * Accounts for every request that was late, refused or failed, from the events
 * of the daemons' logs alone.
 */
#pragma once

#include "LossReason.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace toucanshed {

/** Requests that have something in common. */
struct RequestCounts
{
  std::size_t asked = 0;
  std::size_t onTime = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  std::array<std::size_t, kLossReasons> reasons{};
};

/** Two seconds of the time that the logs span. */
struct ReportWindow
{
  std::int64_t startMs = 0; // from the first request
  RequestCounts counts;
  std::int64_t firstMsMedian = 0;
  std::int64_t firstMsHigh = 0; // 95 of 100 are below
  std::int64_t expectedMsMedian = 0;
  double aheadTokensMean = 0; // per request, at the engine it went to
  std::size_t enginesPresent = 0;
  std::size_t enginesLeaving = 0;
  std::size_t enginesOrdered = 0; // by the orders that stand
  std::int64_t sharedTokensReadAgain = 0;
};

/** One request that was not served on time. */
struct LostRequest
{
  std::string request;
  std::string route;
  std::string team;
  std::string domain;
  std::string backend;
  std::int64_t atMs = 0;
  RequestFate fate = RequestFate::eLate;
  LossReason reason = LossReason::eUnexplained;
  std::int64_t firstMs = 0;
  std::int64_t expectedMs = 0;
};

using CountsByName = std::map<std::string, RequestCounts>;

struct Report
{
  RequestCounts all;
  CountsByName byRoute;
  CountsByName byTeam;
  CountsByName byDomain;
  std::vector<ReportWindow> windows;
  std::vector<LostRequest> lost;
  std::map<std::string, std::int64_t> readAgainByBackend;
  std::vector<BadLine> bad;
  std::size_t lines = 0;
};

/** Thread safety: pure. */
Report
MakeReport(const ReportEvents& aEvents);

} // namespace toucanshed
