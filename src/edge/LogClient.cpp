#include "LogClient.h"

#include "HttpExchange.h"
#include "Worker.h"

#include <algorithm>

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

/** Whether the page has all records from aFrom to where it says that the next
 * one begins. A part of a page can be parsed too, and one without bytes: its
 * reader would skip records, or take the log for empty. */
bool
IsContiguous(const records::LogPage& aPage, std::uint64_t aFrom)
{
  std::uint64_t expected = std::max(aFrom, aPage.earliest());
  for (const records::LogEntry& entry : aPage.entries()) {
    if (entry.offset() != expected) {
      return false;
    }
    ++expected;
  }
  return aPage.earliest() > 0 && aPage.next() == expected;
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
  if (!IsContiguous(page, aFrom)) {
    co_return Fail(ErrorCode::eProtocol,
                   "log page: expected all records up to the next offset");
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
