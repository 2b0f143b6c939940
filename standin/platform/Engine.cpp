#include "Engine.h"

#include <boost/beast/core/string.hpp>

namespace toucanshed::standin {

std::string
ReceivedRequest::Field(std::string_view aName) const
{
  for (const auto& [name, value] : this->fields) {
    if (boost::beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

HttpResponse
PlatformEngine::MakeResponseHead(const HttpRequest& aRequest,
                                 unsigned aStatus) const
{
  HttpResponse reply =
    MakeResponse(aStatus, "body of " + this->id, "text/plain");
  reply.set("Attempt-Id", HeaderOf(aRequest, "Attempt-Id"));
  reply.set("Response-Seal", "seal-of-" + this->id);
  if (!this->rateLimit.empty()) {
    reply.set("Server-Limit", this->rateLimit);
  }
  return reply;
}

Task<void>
PlatformEngine::Stream(const HttpRequest& aRequest,
                       ScriptedResponse aStep,
                       HttpResponder& aResponder)
{
  HttpResponse head = this->MakeResponseHead(aRequest, 200);
  head.set("Content-Type", "text/event-stream");
  co_await aResponder.Begin(std::move(head));
  const std::string resume = HeaderOf(aRequest, "Last-Event-Id");
  std::uint64_t next = resume.empty() ? 0 : std::stoull(resume) + 1;
  const bool cut = aStep.kind == ScriptedResponse::Kind::eDisconnectAfter;
  const std::uint64_t end =
    cut ? next + aStep.eventsBeforeDisconnect : this->eventsPerStream;
  for (; next < end; ++next) {
    std::string event = "id: " + std::to_string(next) + "\ndata: token-" +
                        std::to_string(next) + "\n\n";
    co_await aResponder.Write(std::move(event));
  }
  if (!cut) {
    co_await aResponder.End();
    co_return;
  }
  if (aStep.sendsPartialEvent) {
    std::string half = "id: " + std::to_string(next) + "\nda";
    co_await aResponder.Write(std::move(half));
  }
}

Task<void>
PlatformEngine::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  ReceivedRequest arrival;
  arrival.target = std::string(aRequest.target());
  arrival.body = aRequest.body();
  for (const auto& field : aRequest) {
    arrival.fields.emplace_back(field.name_string(), field.value());
  }
  this->receivedRequests.push_back(std::move(arrival));
  ScriptedResponse step;
  if (!this->scriptedResponses.empty()) {
    step = this->scriptedResponses.front();
    this->scriptedResponses.pop_front();
  }
  HttpResponse reply = this->MakeResponseHead(aRequest, 200);
  switch (step.kind) {
    case ScriptedResponse::Kind::eReject:
      reply = this->MakeResponseHead(aRequest, 503);
      reply.set("Not-Executed", "1");
      break;
    case ScriptedResponse::Kind::eServerError:
      reply = this->MakeResponseHead(aRequest, 500);
      break;
    case ScriptedResponse::Kind::eWrongAttempt:
      reply.set("Attempt-Id", "somebody-else");
      break;
    case ScriptedResponse::Kind::eMisdirected:
      reply = MakeResponse(421, "");
      reply.set("Instance-Id", "another");
      break;
    case ScriptedResponse::Kind::eHang: {
      bool gone = false;
      aResponder.NotifyOnDisconnect([&gone] { gone = true; });
      while (!gone) {
        co_await Sleep(std::chrono::milliseconds(5));
      }
      ++this->callerDisconnects;
      co_return;
    }
    case ScriptedResponse::Kind::eComplete:
    case ScriptedResponse::Kind::eDisconnectAfter:
      if (this->streams) {
        co_await this->Stream(aRequest, step, aResponder);
        co_return;
      }
      break;
  }
  co_await aResponder.Send(std::move(reply));
}

} // namespace toucanshed::standin
