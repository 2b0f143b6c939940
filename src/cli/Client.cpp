#include "Client.h"

#include "edge/HttpExchange.h"
#include "edge/WorkerPool.h"

namespace toucanshed {

namespace {

Task<void>
CallAndStop(WorkerPool& aPool,
            Endpoint aEndpoint,
            HttpRequest aRequest,
            Result<HttpResponse>& aResult)
{
  CallTimeouts timeouts;
  timeouts.connect = std::chrono::seconds(2);
  timeouts.head = std::chrono::seconds(30);
  auto response = co_await Fetch(
    aPool.First(), aEndpoint, std::move(aRequest), timeouts, true);
  if (response) {
    aResult = std::move(*response);
  } else {
    aResult = Fail(response.error().code,
                   ToText(aEndpoint) + ": " + response.error().message);
  }
  aPool.Stop();
}

} // namespace

Result<HttpResponse>
CallDaemon(const std::string& aAddress, HttpRequest aRequest)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return tl::unexpected<Error>(endpoint.error());
  }
  Result<HttpResponse> result = Fail(ErrorCode::eUnavailable, "no response");
  WorkerPool pool(1);
  pool.First().Spawn(CallAndStop(pool, *endpoint, std::move(aRequest), result));
  pool.Run();
  return result;
}

Result<std::string>
GetPage(const std::string& aAddress, const std::string& aTarget)
{
  const auto response =
    CallDaemon(aAddress, MakeRequest(http::verb::get, aTarget));
  if (!response) {
    return tl::unexpected<Error>(response.error());
  }
  if (response->result_int() != 200) {
    return Fail(ErrorCode::eUnavailable,
                aAddress + " responded with status " +
                  std::to_string(response->result_int()));
  }
  return response->body();
}

} // namespace toucanshed
