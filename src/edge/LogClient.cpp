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
  const auto reply =
    co_await Fetch(aWorker, aEndpoint, std::move(request), timeouts);
  if (!reply) {
    co_return Fail(ErrorCode::eUnavailable, reply.error().message);
  }
  if (reply->result_int() != kOk) {
    co_return Fail(ErrorCode::eUnavailable,
                   "log answered " + std::to_string(reply->result_int()));
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
  const auto reply =
    co_await Fetch(aWorker, aEndpoint, std::move(request), timeouts);
  records::LogPage page;
  const bool read =
    reply && reply->result_int() == kOk && page.ParseFromString(reply->body());
  if (!read) {
    co_return Fail(ErrorCode::eUnavailable,
                   reply ? "log answered " + std::to_string(reply->result_int())
                         : reply.error().message);
  }
  co_return page;
}

} // namespace

LogClient
MakeHttpLogClient(const Endpoint& aEndpoint)
{
  LogClient access;
  access.append = [aEndpoint](Worker& aWorker,
                              std::string aStream,
                              std::string aPayload) {
    return Append(aWorker, aEndpoint, std::move(aStream), std::move(aPayload));
  };
  access.read = [aEndpoint](Worker& aWorker,
                            std::string aStream,
                            std::uint64_t aFrom,
                            std::chrono::milliseconds aWait) {
    return Read(aWorker, aEndpoint, std::move(aStream), aFrom, aWait);
  };
  return access;
}

} // namespace toucanshed
