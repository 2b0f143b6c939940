/** \file
 * The HTTP messages that servers and clients exchange, whole in memory.
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

/** A request for aTarget with a body, ready to send. */
HttpRequest
MakeRequest(http::verb aVerb,
            std::string_view aTarget,
            std::string aBody = {},
            std::string_view aContentType = "application/json");

/** A reply with a body, ready to send. */
HttpResponse
MakeResponse(unsigned aStatus,
             std::string aBody,
             std::string_view aContentType = "application/json");

/** The field's value, empty when it is missing. */
std::string
HeaderOf(const http::fields& aFields, std::string_view aName);

/** The value of NAME in a target's query, empty when it is missing. Values
 * are taken as they stand; the ports that use queries need no escapes. */
std::string
QueryParamOf(std::string_view aTarget, std::string_view aName);

/** The target without its query. */
std::string_view
PathOf(std::string_view aTarget);

} // namespace toucanshed
