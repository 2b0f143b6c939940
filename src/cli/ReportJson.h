/** \file
 * A report as JSON, for programs.
 */
#pragma once

#include <string>

namespace toucanshed {

struct Report;

/** Everything that the page shows, and each lost request.
 * Thread safety: pure. */
std::string
RenderReportJson(const Report& aReport);

} // namespace toucanshed
