/** \file
 * A report as JSON, for programs.
 */
#pragma once

#include <string>

namespace toucanshed {

struct SloReport;

/** Everything that the page shows, and each lost request.
 * Thread safety: pure. */
std::string
RenderReportJson(const SloReport& aReport);

} // namespace toucanshed
