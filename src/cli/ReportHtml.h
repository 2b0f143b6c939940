/** \file
 * A report as one HTML page with plots, for people.
 */
#pragma once

#include <string>

namespace toucanshed {

struct SloReport;

/** One page without scripts or anything from the network.
 * Thread safety: pure. */
std::string
RenderReportHtml(const SloReport& aReport);

} // namespace toucanshed
