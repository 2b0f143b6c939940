/** \file
 * Finds a reason for every request that was late, refused or failed, using only
 * the events in the daemons' logs.
 */
#pragma once

#include "SloMissReason.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace toucanshed {

/** Counts of a group of requests: of a route, a team, a zone or a window. */
struct RequestCounts
{
  std::size_t total = 0;
  std::size_t onTime = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  std::array<std::size_t, kSloMissReasonCount> reasons{};
};

/** The figures of two seconds of the time that the logs cover. */
struct ReportWindow
{
  std::int64_t startMs = 0; // after the first request
  RequestCounts counts;
  std::int64_t firstTokenMsMedian = 0;
  std::int64_t firstTokenMsP95 = 0; // 95th percentile
  std::int64_t expectedFirstTokenMsMedian = 0;
  double queuedTokensMean = 0; // per request, at the engine it was sent to
  std::size_t enginesPresent = 0;
  std::size_t enginesLeaving = 0;
  std::size_t enginesOrdered = 0; // by the orders that are current
  std::int64_t sharedTokensRecomputed = 0;
};

/** One request that was not served on time. */
struct SloMiss
{
  std::string request;
  std::string route;
  std::string team;
  std::string zone;
  std::string backend;
  std::int64_t arrivalMs = 0;
  SloOutcome outcome = SloOutcome::eLate;
  SloMissReason reason = SloMissReason::eUnexplained;
  std::int64_t firstTokenMs = 0;
  std::int64_t expectedFirstTokenMs = 0;
};

using CountsByName = std::map<std::string, RequestCounts>;

struct SloReport
{
  RequestCounts all;
  CountsByName byRoute;
  CountsByName byTeam;
  CountsByName byZone;
  std::vector<ReportWindow> windows;
  std::vector<SloMiss> sloMisses;
  std::map<std::string, std::int64_t> recomputedTokensByBackend;
  std::vector<UnreadableLine> unreadable;
  std::size_t eventLines = 0;
};

/** Thread safety: pure. */
SloReport
MakeSloReport(const LogEvents& aEvents);

} // namespace toucanshed
