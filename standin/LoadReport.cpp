#include "LoadReport.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace toucanshed::standin {

namespace json = boost::json;

namespace {

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::lround(last * aFraction))];
}

json::object
Counts(const LoadReport& aReport)
{
  return json::object{
    { "sent", aReport.sent },
    { "completed", aReport.completed },
    { "refused_not_run", aReport.refusedNotRun },
    { "may_have_run", aReport.mayHaveRun },
    { "failed", aReport.failed },
    { "wrong_answers", aReport.wrongAnswers },
    { "lost_accepted", aReport.lostAccepted },
    { "doubled_executions", aReport.doubledExecutions },
    { "false_not_run", aReport.falseNotRun },
    { "missing_executions", aReport.missingExecutions },
    { "resumed_streams", aReport.resumedStreams },
    { "tokens", aReport.tokens },
  };
}

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

} // namespace

bool
LoadReport::GuaranteesHold() const
{
  return this->wrongAnswers == 0 && this->lostAccepted == 0 &&
         this->doubledExecutions == 0 && this->falseNotRun == 0 &&
         this->missingExecutions == 0 && this->failed == 0;
}

std::string
LoadReport::ToTable() const
{
  std::ostringstream text;
  for (const auto& [name, value] : Counts(*this)) {
    text << std::left << std::setw(22) << std::string(name) << std::right
         << std::setw(10) << value.to_number<std::uint64_t>() << "\n";
  }
  text << std::left << std::setw(14) << "team (ms)" << std::right
       << "   first p50     p95     p99     gap p50     p95\n";
  for (const auto& [team, times] : this->teams) {
    text << std::left << std::setw(14) << team << std::right << std::fixed
         << std::setprecision(1) << std::setw(12)
         << Quantile(times.firstToken, kMedian) << std::setw(8)
         << Quantile(times.firstToken, kP95) << std::setw(8)
         << Quantile(times.firstToken, kP99) << std::setw(12)
         << Quantile(times.tokenGap, kMedian) << std::setw(8)
         << Quantile(times.tokenGap, kP95) << "\n";
  }
  text << "promises " << (this->GuaranteesHold() ? "kept" : "BROKEN") << "\n";
  return text.str();
}

std::string
LoadReport::ToJson() const
{
  json::object report = Counts(*this);
  report["promises_kept"] = this->GuaranteesHold();
  json::object perTeam;
  for (const auto& [team, times] : this->teams) {
    perTeam[team] = json::object{
      { "first_token_p50_ms", Quantile(times.firstToken, kMedian) },
      { "first_token_p95_ms", Quantile(times.firstToken, kP95) },
      { "first_token_p99_ms", Quantile(times.firstToken, kP99) },
      { "token_gap_p50_ms", Quantile(times.tokenGap, kMedian) },
      { "token_gap_p95_ms", Quantile(times.tokenGap, kP95) },
    };
  }
  report["teams"] = perTeam;
  return json::serialize(report) + "\n";
}

} // namespace toucanshed::standin
