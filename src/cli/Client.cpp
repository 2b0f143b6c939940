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
  auto reply = co_await Fetch(
    aPool.First(), aEndpoint, std::move(aRequest), timeouts, true);
  if (reply) {
    aResult = std::move(*reply);
  } else {
    aResult = Fail(reply.error().code,
                   ToText(aEndpoint) + ": " + reply.error().message);
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
  Result<HttpResponse> result = Fail(ErrorCode::eUnavailable, "no answer");
  WorkerPool pool(1);
  pool.First().Spawn(CallAndStop(pool, *endpoint, std::move(aRequest), result));
  pool.Run();
  return result;
}

Result<std::string>
GetPage(const std::string& aAddress, const std::string& aTarget)
{
  const auto reply =
    CallDaemon(aAddress, MakeRequest(http::verb::get, aTarget));
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  if (reply->result_int() != 200) {
    return Fail(ErrorCode::eUnavailable,
                aAddress + " answered " + std::to_string(reply->result_int()));
  }
  return reply->body();
}

} // namespace toucanshed
