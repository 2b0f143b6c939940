/** \file
 * The state of a daemon as an operator reads it.
 */
#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace toucanshed {

/** What an operator looks for first, in 80 columns: is it ready, does the log
 * answer, who is missing, which moves run, which back ends are in trouble.
 * Thread safety: pure function. */
std::string
RenderStatus(const boost::json::object& aStatus);

/** The moves alone. */
std::string
RenderRollouts(const boost::json::array& aMoves);

} // namespace toucanshed
