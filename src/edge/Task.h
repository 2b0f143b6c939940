/** \file
 * The coroutine type for functions that wait for a socket or a timer.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

namespace toucanshed {

template<typename T>
using Task = boost::asio::awaitable<T>;

} // namespace toucanshed
