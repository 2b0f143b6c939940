/** \file
 * Renders a report as one HTML page with plots, for operators to read.
 */
#pragma once

#include <string>

namespace toucanshed {

struct SloReport;

/** The page has no scripts and loads nothing from the network.
 * Thread safety: pure. */
std::string
RenderReportHtml(const SloReport& aReport);

} // namespace toucanshed
