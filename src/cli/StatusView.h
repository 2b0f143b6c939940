/** \file
 * Renders the state of a daemon as text for operators.
 */
#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace toucanshed {

/** The overview for an operator, in 80 columns: whether the daemon is ready,
 * whether the log responds, which daemons are missing, which rollouts run and
 * which back ends have problems.
 * Thread safety: pure function. */
std::string
RenderStatus(const boost::json::object& aStatus);

/** Only the table of rollouts. */
std::string
RenderRollouts(const boost::json::array& aRollouts);

} // namespace toucanshed
