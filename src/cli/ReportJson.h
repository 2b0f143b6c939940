/** \file
 * Renders a report as JSON, for programs to read.
 */
#pragma once

#include <string>

namespace toucanshed {

struct SloReport;

/** Contains everything that the HTML page shows, and every SLO miss.
 * Thread safety: pure. */
std::string
RenderReportJson(const SloReport& aReport);

} // namespace toucanshed
