#include "ReportPage.h"

#include "Report.h"

#include <algorithm>
#include <cstdio>

namespace toucanshed {

namespace {

constexpr double kWidth = 900;
constexpr double kHeight = 150;
constexpr double kLeft = 60; // for the figures beside a plot
constexpr double kMillisPerSecond = 1000;
/** Unreadable lines that are named; the JSON has all. */
constexpr std::size_t kMostBadShown = 20;
/** Lost requests that are shown for each reason, to follow in the logs. */
constexpr std::size_t kMostLostShown = 3;

constexpr const char* kHead =
  "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
  "<title>toucanshed report</title><style>"
  "body{font:14px sans-serif;margin:2em;max-width:70em}"
  "table{border-collapse:collapse;margin:1em 0}"
  "td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}"
  "td:first-child,th:first-child{text-align:left}"
  "svg{display:block;margin:.3em 0 1.2em}"
  "text{font:11px sans-serif;fill:#444}</style></head><body>"
  "<h1>Requests and their engines</h1>";

/** One colour a reason, and for the lines of a plot. */
constexpr std::array<const char*, kLossReasons> kColours{
  "#1f77b4", "#ff7f0e", "#d62728", "#9467bd", "#8c564b", "#e377c2",
  "#2ca02c", "#bcbd22", "#17becf", "#7f7f7f", "#aec7e8", "#c7c7c7"
};

std::string
Text(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", aValue);
  return text;
}

std::string
Escape(const std::string& aText)
{
  std::string escaped;
  for (const char letter : aText) {
    switch (letter) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

/** One line of a plot: a value a window. */
struct Series
{
  std::string name;
  std::vector<double> values;
};

/** A plot's frame: its height stands for aMost, its width for all windows. */
struct Frame
{
  double most = 1;
  std::size_t windows = 1;

  [[nodiscard]] double X(double aWindow) const
  {
    const auto count = static_cast<double>(std::max<std::size_t>(1, windows));
    return kLeft + (kWidth - kLeft) * aWindow / count;
  }
  [[nodiscard]] double Y(double aValue) const
  {
    return kHeight * (1 - aValue / this->most);
  }
};

std::string
Label(double aX, double aY, const std::string& aText)
{
  return "<text x=\"" + Text(aX) + "\" y=\"" + Text(aY) + "\">" + aText +
         "</text>";
}

/** Opens a plot with its title, scale and time axis. */
std::string
Open(const std::string& aTitle,
     const Frame& aFrame,
     const std::vector<ReportWindow>& aWindows)
{
  constexpr double kBelow = 36; // for the axis and the legend
  constexpr std::size_t kMarks = 10;
  std::string svg = "<h3>" + aTitle + "</h3><svg width=\"" + Text(kWidth) +
                    "\" height=\"" + Text(kHeight + kBelow) + "\">";
  svg += "<rect x=\"" + Text(kLeft) + "\" y=\"0\" width=\"" +
         Text(kWidth - kLeft) + "\" height=\"" + Text(kHeight) +
         "\" fill=\"#f7f7f7\"/>";
  svg += Label(0, 11, Text(aFrame.most)) + Label(0, kHeight, "0");
  const std::size_t step = std::max<std::size_t>(1, aWindows.size() / kMarks);
  for (std::size_t i = 0; i < aWindows.size(); i += step) {
    const auto seconds =
      static_cast<double>(aWindows[i].startMs) / kMillisPerSecond;
    svg += Label(
      aFrame.X(static_cast<double>(i)), kHeight + 14, Text(seconds) + " s");
  }
  return svg;
}

std::string
Legend(double aX, const char* aColour, const std::string& aName)
{
  return "<rect x=\"" + Text(aX) + "\" y=\"" + Text(kHeight + 22) +
         "\" width=\"9\" height=\"9\" fill=\"" + aColour + "\"/>" +
         Label(aX + 13, kHeight + 31, aName);
}

std::string
LinePlot(const std::string& aTitle,
         const std::vector<ReportWindow>& aWindows,
         const std::vector<Series>& aSeries)
{
  constexpr double kLegendWidth = 200;
  Frame frame{ 1, aWindows.size() };
  for (const Series& series : aSeries) {
    for (const double value : series.values) {
      frame.most = std::max(frame.most, value);
    }
  }
  std::string svg = Open(aTitle, frame, aWindows);
  for (std::size_t i = 0; i < aSeries.size(); ++i) {
    const char* colour = kColours.at(i);
    std::string points;
    for (std::size_t at = 0; at < aSeries[i].values.size(); ++at) {
      points += Text(frame.X(static_cast<double>(at) + 0.5)) + "," +
                Text(frame.Y(aSeries[i].values[at])) + " ";
    }
    svg += "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" +
           std::string(colour) + "\" points=\"" + points + "\"/>";
    svg += Legend(
      kLeft + kLegendWidth * static_cast<double>(i), colour, aSeries[i].name);
  }
  return svg + "</svg>";
}

std::size_t
LostOf(const RequestCounts& aCounts)
{
  return aCounts.late + aCounts.refused + aCounts.failed;
}

/** Stacked bars: the requests that were not served on time, by reason. */
std::string
ReasonPlot(const Report& aReport)
{
  Frame frame{ 1, aReport.windows.size() };
  for (const ReportWindow& window : aReport.windows) {
    frame.most =
      std::max(frame.most, static_cast<double>(LostOf(window.counts)));
  }
  std::string svg =
    Open("Requests not served on time, by reason", frame, aReport.windows);
  for (std::size_t at = 0; at < aReport.windows.size(); ++at) {
    double below = 0;
    for (std::size_t i = 0; i < kLossReasons; ++i) {
      const auto count =
        static_cast<double>(aReport.windows[at].counts.reasons.at(i));
      if (count == 0) {
        continue;
      }
      const double left = frame.X(static_cast<double>(at) + 0.1);
      const double right = frame.X(static_cast<double>(at) + 0.9);
      svg += "<rect x=\"" + Text(left) + "\" y=\"" +
             Text(frame.Y(below + count)) + "\" width=\"" + Text(right - left) +
             "\" height=\"" + Text(frame.Y(below) - frame.Y(below + count)) +
             "\" fill=\"" + kColours.at(i) + "\"/>";
      below += count;
    }
  }
  double x = kLeft;
  for (std::size_t i = 0; i < kLossReasons; ++i) {
    if (aReport.all.reasons.at(i) > 0) {
      constexpr double kLegendWidth = 105;
      const std::string name(NameOf(static_cast<LossReason>(i)));
      svg += Legend(x, kColours.at(i), name);
      x += kLegendWidth;
    }
  }
  return svg + "</svg>";
}

template<typename Value>
Series
SeriesOf(const std::string& aName,
         const std::vector<ReportWindow>& aWindows,
         Value ReportWindow::*aMember)
{
  Series series{ aName, {} };
  for (const ReportWindow& window : aWindows) {
    series.values.push_back(static_cast<double>(window.*aMember));
  }
  return series;
}

std::string
Row(const std::string& aName, const RequestCounts& aCounts)
{
  std::string reasons;
  for (std::size_t i = 0; i < kLossReasons; ++i) {
    if (aCounts.reasons.at(i) > 0) {
      reasons += std::string(NameOf(static_cast<LossReason>(i))) + " " +
                 std::to_string(aCounts.reasons.at(i)) + "  ";
    }
  }
  std::string row =
    "<tr><td>" + Escape(aName.empty() ? "none" : aName) + "</td>";
  for (const std::size_t count : { aCounts.asked,
                                   aCounts.onTime,
                                   aCounts.late,
                                   aCounts.refused,
                                   aCounts.failed }) {
    row += "<td>" + std::to_string(count) + "</td>";
  }
  return row + "<td style=\"text-align:left\">" + reasons + "</td></tr>";
}

std::string
Table(const std::string& aTitle, const CountsByName& aCounts)
{
  std::string table =
    "<h3>" + aTitle +
    "</h3><table><tr><th></th><th>asked</th><th>on time</th><th>late</th>"
    "<th>refused</th><th>failed</th><th>reasons</th></tr>";
  for (const auto& [name, counts] : aCounts) {
    table += Row(name, counts);
  }
  return table + "</table>";
}

/** For each reason a few requests, with what to look for in the logs. */
std::string
Examples(const Report& aReport)
{
  std::string table =
    "<h3>Requests to follow in the logs</h3><table><tr><th>reason</th>"
    "<th>request</th><th>at</th><th>back end</th><th>first token ms</th>"
    "<th>expected ms</th></tr>";
  std::array<std::size_t, kLossReasons> shown{};
  for (const LostRequest& lost : aReport.lost) {
    std::size_t& count = shown.at(static_cast<std::size_t>(lost.reason));
    if (count++ >= kMostLostShown) {
      continue;
    }
    const double seconds = static_cast<double>(lost.atMs) / kMillisPerSecond;
    table += "<tr><td>" + std::string(NameOf(lost.reason)) + "</td><td>" +
             Escape(lost.request) + "</td><td>" + Text(seconds) +
             " s</td><td>" + Escape(lost.backend) + "</td><td>" +
             std::to_string(lost.firstMs) + "</td><td>" +
             std::to_string(lost.expectedMs) + "</td></tr>";
  }
  return table + "</table>";
}

std::string
BadLines(const Report& aReport)
{
  if (aReport.bad.empty()) {
    return {};
  }
  std::string list =
    "<h3>Lines that could not be read: " + std::to_string(aReport.bad.size()) +
    "</h3><ul>";
  const std::size_t count = std::min(kMostBadShown, aReport.bad.size());
  for (std::size_t i = 0; i < count; ++i) {
    const BadLine& bad = aReport.bad[i];
    list += "<li>" + Escape(bad.file) + ", line " + std::to_string(bad.line) +
            ": " + bad.reason + "</li>";
  }
  return list + "</ul>";
}

} // namespace

std::string
RenderReportPage(const Report& aReport)
{
  const std::vector<ReportWindow>& windows = aReport.windows;
  std::string page = kHead;
  page += Table("All requests", { { "all", aReport.all } });
  page += ReasonPlot(aReport);
  page += LinePlot(
    "Time to the first token, ms",
    windows,
    { SeriesOf("median", windows, &ReportWindow::firstMsMedian),
      SeriesOf("95 of 100 below", windows, &ReportWindow::firstMsHigh),
      SeriesOf("expected, median", windows, &ReportWindow::expectedMsMedian) });
  page +=
    LinePlot("Back ends",
             windows,
             { SeriesOf("present", windows, &ReportWindow::enginesPresent),
               SeriesOf("leaving", windows, &ReportWindow::enginesLeaving),
               SeriesOf("ordered", windows, &ReportWindow::enginesOrdered) });
  page += LinePlot(
    "Prompt tokens",
    windows,
    { SeriesOf("ahead of a request", windows, &ReportWindow::aheadTokensMean),
      SeriesOf(
        "shared, read again", windows, &ReportWindow::sharedTokensReadAgain) });
  page += Table("By route", aReport.byRoute);
  page += Table("By team", aReport.byTeam);
  page += Table("By failure domain", aReport.byDomain);
  page += Examples(aReport);
  page += BadLines(aReport);
  return page + "</body></html>\n";
}

} // namespace toucanshed
