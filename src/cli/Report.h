/** \file
 * Accounts for every request that was late, refused or failed, from the events
 * of the daemons' logs alone.
 */
#pragma once

#include "ReportEvents.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** How a request ended for its caller. */
enum class RequestFate
{
  eOnTime,
  eLate,
  eRefused,
  eFailed,
  eNotCounted, // not allowed, or its caller left
};

/** Why a request was not served on time. */
enum class LossReason
{
  eBehindPrompts, // other prompts were to be read before its own
  eEngineLeft,
  eEngineCrashed,
  eEngineHung,
  eEngineFailed, // its own failure, or an answer that was no answer
  eEngineSlow,   // nothing ahead, and far later than expected
  eNoEngine,
  eEnginesFull,
  eLittleTime, // too little was left when it was admitted
  eOverLimit,
  eDaemonStarting,
  eUnexplained,
};

constexpr std::size_t kLossReasons =
  static_cast<std::size_t>(LossReason::eUnexplained) + 1;

/** The one word that the report uses. Thread safety: pure. */
std::string_view
NameOf(LossReason aReason);

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
