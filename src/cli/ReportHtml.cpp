#include "ReportHtml.h"

#include "SloReport.h"

#include <algorithm>
#include <cstdio>

namespace toucanshed {

namespace {

constexpr double kPlotWidth = 900;
constexpr double kPlotHeight = 150;
constexpr double kPlotLeft = 60; // for the scale to the left of a plot
constexpr double kMillisPerSecond = 1000;
/** The page lists at most this many unreadable lines; the JSON lists all. */
constexpr std::size_t kMaxUnreadableShown = 20;
/** SLO misses listed for each reason, as a start for a search in the logs. */
constexpr std::size_t kMaxExamplesPerReason = 3;

constexpr const char* kPageHead =
  "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
  "<title>toucanshed report</title><style>"
  "body{font:14px sans-serif;margin:2em;max-width:70em}"
  "table{border-collapse:collapse;margin:1em 0}"
  "td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}"
  "td:first-child,th:first-child{text-align:left}"
  "svg{display:block;margin:.3em 0 1.2em}"
  "text{font:11px sans-serif;fill:#444}</style></head><body>"
  "<h1>Requests and their engines</h1>";

/** Colours of the reasons in the bars, and of the lines in a plot. */
constexpr std::array<const char*, kSloMissReasonCount> kColours{
  "#1f77b4", "#ff7f0e", "#d62728", "#9467bd", "#8c564b", "#e377c2",
  "#2ca02c", "#bcbd22", "#17becf", "#7f7f7f", "#aec7e8", "#c7c7c7"
};

std::string
FormatNumber(double aValue)
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

/** One line of a plot, with one value per window. */
struct Series
{
  std::string name;
  std::vector<double> values;
};

/** The scale of a plot: its height is maxValue, its width all windows. */
struct PlotFrame
{
  double maxValue = 1;
  std::size_t windowCount = 1;

  [[nodiscard]] double X(double aWindow) const
  {
    const auto count =
      static_cast<double>(std::max<std::size_t>(1, windowCount));
    return kPlotLeft + (kPlotWidth - kPlotLeft) * aWindow / count;
  }
  [[nodiscard]] double Y(double aValue) const
  {
    return kPlotHeight * (1 - aValue / this->maxValue);
  }
};

std::string
TextLabel(double aX, double aY, const std::string& aText)
{
  return "<text x=\"" + FormatNumber(aX) + "\" y=\"" + FormatNumber(aY) +
         "\">" + aText + "</text>";
}

/** Starts a plot with its title, scale and time axis. */
std::string
BeginPlot(const std::string& aTitle,
          const PlotFrame& aFrame,
          const std::vector<ReportWindow>& aWindows)
{
  constexpr double kFooterHeight = 36; // for the axis and the legend
  constexpr std::size_t kMarks = 10;
  std::string svg = "<h3>" + aTitle + "</h3><svg width=\"" +
                    FormatNumber(kPlotWidth) + "\" height=\"" +
                    FormatNumber(kPlotHeight + kFooterHeight) + "\">";
  svg += "<rect x=\"" + FormatNumber(kPlotLeft) + "\" y=\"0\" width=\"" +
         FormatNumber(kPlotWidth - kPlotLeft) + "\" height=\"" +
         FormatNumber(kPlotHeight) + "\" fill=\"#f7f7f7\"/>";
  svg += TextLabel(0, 11, FormatNumber(aFrame.maxValue)) +
         TextLabel(0, kPlotHeight, "0");
  const std::size_t step = std::max<std::size_t>(1, aWindows.size() / kMarks);
  for (std::size_t i = 0; i < aWindows.size(); i += step) {
    const auto seconds =
      static_cast<double>(aWindows[i].startMs) / kMillisPerSecond;
    svg += TextLabel(aFrame.X(static_cast<double>(i)),
                     kPlotHeight + 14,
                     FormatNumber(seconds) + " s");
  }
  return svg;
}

std::string
LegendEntry(double aX, const char* aColour, const std::string& aName)
{
  return "<rect x=\"" + FormatNumber(aX) + "\" y=\"" +
         FormatNumber(kPlotHeight + 22) +
         "\" width=\"9\" height=\"9\" fill=\"" + aColour + "\"/>" +
         TextLabel(aX + 13, kPlotHeight + 31, aName);
}

std::string
LinePlot(const std::string& aTitle,
         const std::vector<ReportWindow>& aWindows,
         const std::vector<Series>& aSeries)
{
  constexpr double kLegendWidth = 200;
  PlotFrame frame{ 1, aWindows.size() };
  for (const Series& series : aSeries) {
    for (const double value : series.values) {
      frame.maxValue = std::max(frame.maxValue, value);
    }
  }
  std::string svg = BeginPlot(aTitle, frame, aWindows);
  for (std::size_t i = 0; i < aSeries.size(); ++i) {
    const char* colour = kColours.at(i);
    std::string points;
    for (std::size_t at = 0; at < aSeries[i].values.size(); ++at) {
      points += FormatNumber(frame.X(static_cast<double>(at) + 0.5)) + "," +
                FormatNumber(frame.Y(aSeries[i].values[at])) + " ";
    }
    svg += "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" +
           std::string(colour) + "\" points=\"" + points + "\"/>";
    svg += LegendEntry(kPlotLeft + kLegendWidth * static_cast<double>(i),
                       colour,
                       aSeries[i].name);
  }
  return svg + "</svg>";
}

std::size_t
SloMissCount(const RequestCounts& aCounts)
{
  return aCounts.late + aCounts.refused + aCounts.failed;
}

/** Stacked bars: the requests that were not served on time, by reason. */
std::string
ReasonPlot(const SloReport& aReport)
{
  PlotFrame frame{ 1, aReport.windows.size() };
  for (const ReportWindow& window : aReport.windows) {
    frame.maxValue = std::max(frame.maxValue,
                              static_cast<double>(SloMissCount(window.counts)));
  }
  std::string svg =
    BeginPlot("Requests not served on time, by reason", frame, aReport.windows);
  for (std::size_t at = 0; at < aReport.windows.size(); ++at) {
    double below = 0;
    for (std::size_t i = 0; i < kSloMissReasonCount; ++i) {
      const auto count =
        static_cast<double>(aReport.windows[at].counts.reasons.at(i));
      if (count == 0) {
        continue;
      }
      const double left = frame.X(static_cast<double>(at) + 0.1);
      const double right = frame.X(static_cast<double>(at) + 0.9);
      svg += "<rect x=\"" + FormatNumber(left) + "\" y=\"" +
             FormatNumber(frame.Y(below + count)) + "\" width=\"" +
             FormatNumber(right - left) + "\" height=\"" +
             FormatNumber(frame.Y(below) - frame.Y(below + count)) +
             "\" fill=\"" + kColours.at(i) + "\"/>";
      below += count;
    }
  }
  double x = kPlotLeft;
  for (std::size_t i = 0; i < kSloMissReasonCount; ++i) {
    if (aReport.all.reasons.at(i) > 0) {
      constexpr double kLegendWidth = 105;
      const std::string name(NameOf(static_cast<SloMissReason>(i)));
      svg += LegendEntry(x, kColours.at(i), name);
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
TableRow(const std::string& aName, const RequestCounts& aCounts)
{
  std::string reasons;
  for (std::size_t i = 0; i < kSloMissReasonCount; ++i) {
    if (aCounts.reasons.at(i) > 0) {
      reasons += std::string(NameOf(static_cast<SloMissReason>(i))) + " " +
                 std::to_string(aCounts.reasons.at(i)) + "  ";
    }
  }
  std::string row =
    "<tr><td>" + Escape(aName.empty() ? "none" : aName) + "</td>";
  for (const std::size_t count : { aCounts.total,
                                   aCounts.onTime,
                                   aCounts.late,
                                   aCounts.refused,
                                   aCounts.failed }) {
    row += "<td>" + std::to_string(count) + "</td>";
  }
  return row + "<td style=\"text-align:left\">" + reasons + "</td></tr>";
}

std::string
CountsTable(const std::string& aTitle, const CountsByName& aCounts)
{
  std::string table =
    "<h3>" + aTitle +
    "</h3><table><tr><th></th><th>asked</th><th>on time</th><th>late</th>"
    "<th>refused</th><th>failed</th><th>reasons</th></tr>";
  for (const auto& [name, counts] : aCounts) {
    table += TableRow(name, counts);
  }
  return table + "</table>";
}

/** Lists a few requests for each reason, with their identifiers in the logs. */
std::string
ExampleTable(const SloReport& aReport)
{
  std::string table =
    "<h3>Requests to follow in the logs</h3><table><tr><th>reason</th>"
    "<th>request</th><th>at</th><th>back end</th><th>first token ms</th>"
    "<th>expected ms</th></tr>";
  std::array<std::size_t, kSloMissReasonCount> shown{};
  for (const SloMiss& miss : aReport.sloMisses) {
    std::size_t& count = shown.at(static_cast<std::size_t>(miss.reason));
    if (count++ >= kMaxExamplesPerReason) {
      continue;
    }
    const double seconds =
      static_cast<double>(miss.arrivalMs) / kMillisPerSecond;
    table += "<tr><td>" + std::string(NameOf(miss.reason)) + "</td><td>" +
             Escape(miss.request) + "</td><td>" + FormatNumber(seconds) +
             " s</td><td>" + Escape(miss.backend) + "</td><td>" +
             std::to_string(miss.firstTokenMs) + "</td><td>" +
             std::to_string(miss.expectedFirstTokenMs) + "</td></tr>";
  }
  return table + "</table>";
}

std::string
UnreadableLineList(const SloReport& aReport)
{
  if (aReport.unreadable.empty()) {
    return {};
  }
  std::string list = "<h3>Lines that could not be read: " +
                     std::to_string(aReport.unreadable.size()) + "</h3><ul>";
  const std::size_t count =
    std::min(kMaxUnreadableShown, aReport.unreadable.size());
  for (std::size_t i = 0; i < count; ++i) {
    const UnreadableLine& bad = aReport.unreadable[i];
    list += "<li>" + Escape(bad.file) + ", line " + std::to_string(bad.line) +
            ": " + bad.reason + "</li>";
  }
  return list + "</ul>";
}

} // namespace

std::string
RenderReportHtml(const SloReport& aReport)
{
  const std::vector<ReportWindow>& windows = aReport.windows;
  std::string page = kPageHead;
  page += CountsTable("All requests", { { "all", aReport.all } });
  page += ReasonPlot(aReport);
  page += LinePlot(
    "Time to the first token, ms",
    windows,
    { SeriesOf("median", windows, &ReportWindow::firstTokenMsMedian),
      SeriesOf("95 of 100 below", windows, &ReportWindow::firstTokenMsP95),
      SeriesOf("expected, median",
               windows,
               &ReportWindow::expectedFirstTokenMsMedian) });
  page +=
    LinePlot("Back ends",
             windows,
             { SeriesOf("present", windows, &ReportWindow::enginesPresent),
               SeriesOf("leaving", windows, &ReportWindow::enginesLeaving),
               SeriesOf("ordered", windows, &ReportWindow::enginesOrdered) });
  page += LinePlot(
    "Prompt tokens",
    windows,
    { SeriesOf("ahead of a request", windows, &ReportWindow::queuedTokensMean),
      SeriesOf("shared, read again",
               windows,
               &ReportWindow::sharedTokensRecomputed) });
  page += CountsTable("By route", aReport.byRoute);
  page += CountsTable("By team", aReport.byTeam);
  page += CountsTable("By failure domain", aReport.byZone);
  page += ExampleTable(aReport);
  page += UnreadableLineList(aReport);
  return page + "</body></html>\n";
}

} // namespace toucanshed
