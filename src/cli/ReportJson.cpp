#include "ReportJson.h"

#include "SloReport.h"

#include <boost/json.hpp>

namespace toucanshed {

namespace {

namespace json = boost::json;

std::string_view
NameOf(SloOutcome aFate)
{
  switch (aFate) {
    case SloOutcome::eOnTime:
      return "on_time";
    case SloOutcome::eLate:
      return "late";
    case SloOutcome::eRefused:
      return "refused";
    case SloOutcome::eFailed:
      return "failed";
    case SloOutcome::eNotCounted:
      return "not_counted";
  }
  return "";
}

json::object
ToJson(const RequestCounts& aCounts)
{
  json::object reasons;
  for (std::size_t i = 0; i < kSloMissReasonCount; ++i) {
    if (aCounts.reasons.at(i) > 0) {
      reasons[NameOf(static_cast<SloMissReason>(i))] = aCounts.reasons.at(i);
    }
  }
  return { { "asked", aCounts.total },   { "on_time", aCounts.onTime },
           { "late", aCounts.late },     { "refused", aCounts.refused },
           { "failed", aCounts.failed }, { "reasons", std::move(reasons) } };
}

json::object
ToJson(const CountsByName& aCounts)
{
  json::object object;
  for (const auto& [name, counts] : aCounts) {
    object[name.empty() ? "none" : name] = ToJson(counts);
  }
  return object;
}

json::object
ToJson(const ReportWindow& aWindow)
{
  return { { "start_ms", aWindow.startMs },
           { "counts", ToJson(aWindow.counts) },
           { "first_ms_median", aWindow.firstTokenMsMedian },
           { "first_ms_p95", aWindow.firstTokenMsP95 },
           { "expected_ms_median", aWindow.expectedFirstTokenMsMedian },
           { "ahead_tokens_mean", aWindow.queuedTokensMean },
           { "engines_present", aWindow.enginesPresent },
           { "engines_leaving", aWindow.enginesLeaving },
           { "engines_ordered", aWindow.enginesOrdered },
           { "shared_tokens_read_again", aWindow.sharedTokensRecomputed } };
}

json::object
ToJson(const SloMiss& aMiss)
{
  return { { "request", aMiss.request },
           { "route", aMiss.route },
           { "team", aMiss.team },
           { "domain", aMiss.zone },
           { "backend", aMiss.backend },
           { "at_ms", aMiss.arrivalMs },
           { "fate", NameOf(aMiss.outcome) },
           { "reason", NameOf(aMiss.reason) },
           { "first_ms", aMiss.firstTokenMs },
           { "expected_ms", aMiss.expectedFirstTokenMs } };
}

json::object
ToJson(const UnreadableLine& aLine)
{
  return { { "file", aLine.file },
           { "line", aLine.line },
           { "reason", aLine.reason } };
}

template<typename Rows>
json::array
ToArray(const Rows& aRows)
{
  json::array array;
  for (const auto& row : aRows) {
    array.push_back(ToJson(row));
  }
  return array;
}

} // namespace

std::string
RenderReportJson(const SloReport& aReport)
{
  json::object recomputedTokens;
  for (const auto& [backend, tokens] : aReport.recomputedTokensByBackend) {
    recomputedTokens[backend] = tokens;
  }
  const json::object report{ { "lines", aReport.eventLines },
                             { "all", ToJson(aReport.all) },
                             { "by_route", ToJson(aReport.byRoute) },
                             { "by_team", ToJson(aReport.byTeam) },
                             { "by_domain", ToJson(aReport.byZone) },
                             { "windows", ToArray(aReport.windows) },
                             { "read_again_by_backend",
                               std::move(recomputedTokens) },
                             { "lost", ToArray(aReport.sloMisses) },
                             { "unreadable", ToArray(aReport.unreadable) } };
  return json::serialize(report) + "\n";
}

} // namespace toucanshed
