#include "ReportJson.h"

#include "Report.h"

#include <boost/json.hpp>

namespace toucanshed {

namespace {

namespace json = boost::json;

std::string_view
NameOf(RequestFate aFate)
{
  switch (aFate) {
    case RequestFate::eOnTime:
      return "on_time";
    case RequestFate::eLate:
      return "late";
    case RequestFate::eRefused:
      return "refused";
    case RequestFate::eFailed:
      return "failed";
    case RequestFate::eNotCounted:
      return "not_counted";
  }
  return "";
}

json::object
ToJson(const RequestCounts& aCounts)
{
  json::object reasons;
  for (std::size_t i = 0; i < kLossReasons; ++i) {
    if (aCounts.reasons.at(i) > 0) {
      reasons[NameOf(static_cast<LossReason>(i))] = aCounts.reasons.at(i);
    }
  }
  return { { "asked", aCounts.asked },   { "on_time", aCounts.onTime },
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
           { "first_ms_median", aWindow.firstMsMedian },
           { "first_ms_p95", aWindow.firstMsHigh },
           { "expected_ms_median", aWindow.expectedMsMedian },
           { "ahead_tokens_mean", aWindow.aheadTokensMean },
           { "engines_present", aWindow.enginesPresent },
           { "engines_leaving", aWindow.enginesLeaving },
           { "engines_ordered", aWindow.enginesOrdered },
           { "shared_tokens_read_again", aWindow.sharedTokensReadAgain } };
}

json::object
ToJson(const LostRequest& aLost)
{
  return {
    { "request", aLost.request },   { "route", aLost.route },
    { "team", aLost.team },         { "domain", aLost.domain },
    { "backend", aLost.backend },   { "at_ms", aLost.atMs },
    { "fate", NameOf(aLost.fate) }, { "reason", NameOf(aLost.reason) },
    { "first_ms", aLost.firstMs },  { "expected_ms", aLost.expectedMs }
  };
}

json::object
ToJson(const BadLine& aBad)
{
  return { { "file", aBad.file },
           { "line", aBad.line },
           { "reason", aBad.reason } };
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
RenderReportJson(const Report& aReport)
{
  json::object again;
  for (const auto& [backend, tokens] : aReport.readAgainByBackend) {
    again[backend] = tokens;
  }
  const json::object whole{ { "lines", aReport.lines },
                            { "all", ToJson(aReport.all) },
                            { "by_route", ToJson(aReport.byRoute) },
                            { "by_team", ToJson(aReport.byTeam) },
                            { "by_domain", ToJson(aReport.byDomain) },
                            { "windows", ToArray(aReport.windows) },
                            { "read_again_by_backend", std::move(again) },
                            { "lost", ToArray(aReport.lost) },
                            { "unreadable", ToArray(aReport.bad) } };
  return json::serialize(whole) + "\n";
}

} // namespace toucanshed
