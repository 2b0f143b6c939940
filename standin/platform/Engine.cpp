#include "Engine.h"

#include <boost/beast/core/string.hpp>

namespace toucanshed::standin {

std::string
EngineArrival::Field(std::string_view aName) const
{
  for (const auto& [name, value] : this->fields) {
    if (boost::beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

HttpReply
PlatformEngine::Head(const HttpRequest& aRequest, unsigned aStatus) const
{
  HttpReply reply = MakeReply(aStatus, "body of " + this->id, "text/plain");
  reply.set("Attempt-Id", HeaderOf(aRequest, "Attempt-Id"));
  reply.set("Response-Seal", "seal-of-" + this->id);
  if (!this->limit.empty()) {
    reply.set("Server-Limit", this->limit);
  }
  return reply;
}

Task<void>
PlatformEngine::Stream(const HttpRequest& aRequest,
                       EngineStep aStep,
                       HttpResponder& aResponder)
{
  HttpReply head = this->Head(aRequest, 200);
  head.set("Content-Type", "text/event-stream");
  co_await aResponder.Begin(std::move(head));
  const std::string resume = HeaderOf(aRequest, "Last-Event-Id");
  std::uint64_t next = resume.empty() ? 0 : std::stoull(resume) + 1;
  const bool cut = aStep.kind == EngineStep::Kind::eCutAfter;
  const std::uint64_t end = cut ? next + aStep.events : this->events;
  for (; next < end; ++next) {
    std::string event = "id: " + std::to_string(next) + "\ndata: token-" +
                        std::to_string(next) + "\n\n";
    co_await aResponder.Write(std::move(event));
  }
  if (!cut) {
    co_await aResponder.End();
    co_return;
  }
  if (aStep.halfEvent) {
    std::string half = "id: " + std::to_string(next) + "\nda";
    co_await aResponder.Write(std::move(half));
  }
}

Task<void>
PlatformEngine::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  EngineArrival arrival;
  arrival.target = std::string(aRequest.target());
  arrival.body = aRequest.body();
  for (const auto& field : aRequest) {
    arrival.fields.emplace_back(field.name_string(), field.value());
  }
  this->arrivals.push_back(std::move(arrival));
  EngineStep step;
  if (!this->steps.empty()) {
    step = this->steps.front();
    this->steps.pop_front();
  }
  HttpReply reply = this->Head(aRequest, 200);
  switch (step.kind) {
    case EngineStep::Kind::eTurnAway:
      reply = this->Head(aRequest, 503);
      reply.set("Not-Executed", "1");
      break;
    case EngineStep::Kind::eFail:
      reply = this->Head(aRequest, 500);
      break;
    case EngineStep::Kind::eOtherAttempt:
      reply.set("Attempt-Id", "somebody-else");
      break;
    case EngineStep::Kind::eOtherInstance:
      reply = MakeReply(421, "");
      reply.set("Instance-Id", "another");
      break;
    case EngineStep::Kind::eSilent: {
      bool gone = false;
      aResponder.WatchReceiver([&gone] { gone = true; });
      while (!gone) {
        co_await Sleep(std::chrono::milliseconds(5));
      }
      ++this->hungUp;
      co_return;
    }
    case EngineStep::Kind::eWhole:
    case EngineStep::Kind::eCutAfter:
      if (this->streams) {
        co_await this->Stream(aRequest, step, aResponder);
        co_return;
      }
      break;
  }
  co_await aResponder.Send(std::move(reply));
}

} // namespace toucanshed::standin
