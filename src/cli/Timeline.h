/** \file
 * One time line out of the events of many processes.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** One event line, split into its pairs in order. */
using EventFields = std::vector<std::pair<std::string, std::string>>;

/** Splits "key=value key="quoted value"" lines. Thread safety: pure. */
EventFields
ParseEventLine(std::string_view aLine);

/**
 * Merges event lines into the order of their stamps, which follow cause and
 * effect between the processes, and lays them out in 80 columns.
 *
 * \param aFollow keeps only events that bear one of these values; an event
 *   that names a followed request also adds its attempts, so that following a
 *   request shows what its back ends did. Empty keeps all.
 */
std::string
RenderTimeline(const std::vector<std::string>& aLines,
               const std::vector<std::string>& aFollow);

} // namespace toucanshed
