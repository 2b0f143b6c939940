/** \file
 * The network address of a process: IP:PORT.
 */
#pragma once

#include "base/Result.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace toucanshed {

using Endpoint = boost::asio::ip::tcp::endpoint;

/** Parses "127.0.0.1:8000". Host names are not resolved. */
Result<Endpoint>
ParseEndpoint(const std::string& aText);

std::string
ToText(const Endpoint& aEndpoint);

} // namespace toucanshed
