#include "LogClient.h"

#include "HttpExchange.h"
#include "Worker.h"

namespace toucanshed {

namespace {

constexpr unsigned kOk = 200;

Task<Result<void>>
Append(Worker& aWorker,
       Endpoint aEndpoint,
       std::string aStream,
       std::string aPayload)
{
  HttpRequest request = MakeRequest(http::verb::post,
                                    "/streams/" + aStream,
                                    std::move(aPayload),
                                    "application/x-protobuf");
  CallTimeouts timeouts;
  timeouts.head = std::chrono::milliseconds(1000);
  const auto response =
    co_await Fetch(aWorker, aEndpoint, std::move(request), timeouts);
  if (!response) {
    co_return Fail(ErrorCode::eUnavailable, response.error().message);
  }
  if (response->result_int() != kOk) {
    co_return Fail(ErrorCode::eUnavailable,
                   "log responded with status " +
                     std::to_string(response->result_int()));
  }
  co_return Result<void>{};
}

Task<Result<records::LogPage>>
Read(Worker& aWorker,
     Endpoint aEndpoint,
     std::string aStream,
     std::uint64_t aFrom,
     std::chrono::milliseconds aWait)
{
  const std::string target = "/streams/" + aStream +
                             "?from=" + std::to_string(aFrom) +
                             "&wait_ms=" + std::to_string(aWait.count());
  HttpRequest request = MakeRequest(http::verb::get, target);
  CallTimeouts timeouts;
  timeouts.head = aWait + std::chrono::milliseconds(1000);
  const auto response =
    co_await Fetch(aWorker, aEndpoint, std::move(request), timeouts);
  records::LogPage page;
  const bool isValid = response && response->result_int() == kOk &&
                       page.ParseFromString(response->body());
  if (!isValid) {
    co_return Fail(ErrorCode::eUnavailable,
                   response ? "log responded with status " +
                                std::to_string(response->result_int())
                            : response.error().message);
  }
  co_return page;
}

} // namespace

LogClient
MakeHttpLogClient(const Endpoint& aEndpoint)
{
  LogClient client;
  client.append = [aEndpoint](Worker& aWorker,
                              std::string aStream,
                              std::string aPayload) {
    return Append(aWorker, aEndpoint, std::move(aStream), std::move(aPayload));
  };
  client.read = [aEndpoint](Worker& aWorker,
                            std::string aStream,
                            std::uint64_t aFrom,
                            std::chrono::milliseconds aWait) {
    return Read(aWorker, aEndpoint, std::move(aStream), aFrom, aWait);
  };
  return client;
}

} // namespace toucanshed
