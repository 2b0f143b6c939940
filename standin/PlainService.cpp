#include "PlainService.h"

#include "PlainServiceResponse.h"
#include "edge/MessageFields.h"
#include "edge/Worker.h"

#include <boost/json.hpp>
#include <unistd.h>

namespace toucanshed::standin {

HttpResponse
PlainService::ExecutionCounts() const
{
  boost::json::object counts;
  for (const auto& [key, count] : this->executions) {
    counts[key] = count;
  }
  return MakeResponse(200, boost::json::serialize(counts));
}

Task<void>
PlainService::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (auto response = this->faults.HandleRequest(aRequest)) {
    co_await aResponder.Send(std::move(*response));
    co_return;
  }
  if (aRequest.target() == "/health" || aRequest.target() == "/load") {
    co_await aResponder.Send(MakeResponse(200, "{}\n"));
    co_return;
  }
  if (aRequest.target() == "/counts") {
    co_await aResponder.Send(this->ExecutionCounts());
    co_return;
  }
  co_await this->Execute(aRequest, aResponder);
}

Task<void>
PlainService::Execute(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const std::string key = HeaderOf(aRequest, "Idempotency-Key");
  if (!key.empty()) {
    ++this->executions[key];
  }
  const auto delay = this->faults.Value("delay_ms");
  if (delay > 0) {
    co_await Sleep(std::chrono::milliseconds(delay));
  }
  if (this->faults.ShouldInject("crash_percent")) {
    _exit(3);
  }
  if (this->faults.ShouldInject("drop_answer_percent")) {
    // No response was begun, so the server closes the connection.
    co_return;
  }
  if (this->faults.ShouldInject("fail_percent")) {
    co_await aResponder.Send(MakeResponse(500, "{\"error\":\"internal\"}\n"));
    co_return;
  }
  HttpResponse response =
    MakeResponse(200, PlainServiceResponse(aRequest.target(), aRequest.body()));
  const bool crossed = this->faults.ShouldInject("crossed_percent");
  response.set("Attempt-Id",
               crossed ? "another-attempt" : HeaderOf(aRequest, "Attempt-Id"));
  co_await aResponder.Send(std::move(response));
}

} // namespace toucanshed::standin
