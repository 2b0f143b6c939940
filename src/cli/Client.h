/** \file
 * HTTP calls from the command line to a daemon's operator port.
 */
#pragma once

#include "base/Result.h"
#include "edge/HttpTypes.h"

#include <string>

namespace toucanshed {

/** Sends one request to IP:PORT and waits for the complete response.
 * Thread safety: may be called from any thread. */
Result<HttpResponse>
CallDaemon(const std::string& aAddress, HttpRequest aRequest);

/** Fetches a page with GET; a status other than 200 is an error. */
Result<std::string>
GetPage(const std::string& aAddress, const std::string& aTarget);

} // namespace toucanshed
