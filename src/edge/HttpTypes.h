/** \file
 * The HTTP messages of servers and clients, held completely in memory.
 */
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace toucanshed {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/** Builds a request for aTarget, ready to send. */
HttpRequest
MakeRequest(http::verb aVerb,
            std::string_view aTarget,
            std::string aBody = {},
            std::string_view aContentType = "application/json");

/** Builds a response, ready to send. */
HttpResponse
MakeResponse(unsigned aStatus,
             std::string aBody,
             std::string_view aContentType = "application/json");

/** Returns the value of parameter aName in the target's query; empty if it is
 * missing. Values are not unescaped, as the ports that use queries need no
 * escapes. */
std::string
QueryParamOf(std::string_view aTarget, std::string_view aName);

/** Returns the target without its query. */
std::string_view
PathOf(std::string_view aTarget);

} // namespace toucanshed
