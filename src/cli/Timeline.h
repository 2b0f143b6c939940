/** \file
 * Merges the events of many processes into one timeline.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** The key and value pairs of one event line, in the order of the line. */
using EventFields = std::vector<std::pair<std::string, std::string>>;

/** Splits "key=value key="quoted value"" lines. Thread safety: pure. */
EventFields
ParseEventLine(std::string_view aLine);

/**
 * Sorts event lines by their timestamps and lays them out in 80 columns. The
 * timestamps are those of a hybrid logical clock: a cause sorts before its
 * effect, also between processes.
 *
 * \param aFollow keeps only events that contain one of these values. An event
 *   of a followed request also adds that request's attempts to the values, so
 *   that the timeline shows what its back ends did. Empty keeps all events.
 */
std::string
RenderTimeline(const std::vector<std::string>& aLines,
               const std::vector<std::string>& aFollow);

} // namespace toucanshed
