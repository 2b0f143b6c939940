#include "Engine.h"

#include "edge/MessageFields.h"

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
  HttpResponse response =
    MakeResponse(aStatus, "body of " + this->id, "text/plain");
  response.set("Attempt-Id", HeaderOf(aRequest, "Attempt-Id"));
  response.set("Response-Seal", "seal-of-" + this->id);
  if (!this->rateLimit.empty()) {
    response.set("Server-Limit", this->rateLimit);
  }
  if (!this->brittle.empty()) {
    response.set("Server-Brittle", this->brittle);
  }
  if (this->leaving) {
    response.set("Server-Leaving", "1");
  }
  return response;
}

void
PlatformEngine::Crash()
{
  ++this->crashes;
  this->onCrash();
}

bool
PlatformEngine::Crashes(const HttpRequest& aRequest) const
{
  const std::string prompt = "," + HeaderOf(aRequest, "Prefix-Hash");
  const auto section = prompt.find("," + this->crashingSection + ":");
  return !this->crashingSection.empty() && section != std::string::npos &&
         section < prompt.rfind(',');
}

Task<void>
PlatformEngine::Stream(const HttpRequest& aRequest,
                       ScriptedResponse aScripted,
                       HttpResponder& aResponder)
{
  HttpResponse head = this->MakeResponseHead(aRequest, 200);
  head.set("Content-Type", "text/event-stream");
  co_await aResponder.Begin(std::move(head));
  const std::string resume = HeaderOf(aRequest, "Last-Event-Id");
  std::uint64_t next = resume.empty() ? 0 : std::stoull(resume) + 1;
  const bool disconnects =
    aScripted.kind == ScriptedResponse::Kind::eDisconnectAfter;
  const std::uint64_t end = disconnects
                              ? next + aScripted.eventsBeforeDisconnect
                              : this->eventsPerStream;
  const std::uint64_t crashesBefore = this->crashes;
  co_await Sleep(this->eventInterval);
  const std::uint64_t crashAt = next + this->eventsBeforeCrash;
  for (; next < end && this->crashes == crashesBefore; ++next) {
    if (next == crashAt && this->Crashes(aRequest)) {
      this->Crash();
      break;
    }
    std::string event = "id: " + std::to_string(next) + "\ndata: token-" +
                        std::to_string(next) + "\n\n";
    co_await aResponder.Write(std::move(event));
    co_await Sleep(this->eventInterval);
  }
  if (this->crashes != crashesBefore) {
    co_return;
  }
  if (!disconnects) {
    co_await aResponder.End();
    co_return;
  }
  if (aScripted.sendsPartialEvent) {
    std::string partialEvent = "id: " + std::to_string(next) + "\nda";
    co_await aResponder.Write(std::move(partialEvent));
  }
}

Task<void>
PlatformEngine::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  ReceivedRequest received;
  received.target = std::string(aRequest.target());
  received.body = aRequest.body();
  for (const auto& field : aRequest) {
    received.fields.emplace_back(field.name_string(), field.value());
  }
  this->receivedRequests.push_back(std::move(received));
  ScriptedResponse scripted;
  if (!this->scriptedResponses.empty()) {
    scripted = this->scriptedResponses.front();
    this->scriptedResponses.pop_front();
  }
  HttpResponse response = this->MakeResponseHead(aRequest, 200);
  switch (scripted.kind) {
    case ScriptedResponse::Kind::eReject:
      response = this->MakeResponseHead(aRequest, 503);
      response.set("Not-Executed", "1");
      if (!this->rest.empty()) {
        response.set(http::field::retry_after, this->rest);
      }
      break;
    case ScriptedResponse::Kind::eServerError:
      response = this->MakeResponseHead(aRequest, 500);
      break;
    case ScriptedResponse::Kind::eWrongAttempt:
      response.set("Attempt-Id", "somebody-else");
      break;
    case ScriptedResponse::Kind::eMisdirected:
      response = MakeResponse(421, "");
      response.set("Instance-Id", "another");
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
        co_await this->Stream(aRequest, scripted, aResponder);
        co_return;
      }
      break;
  }
  co_await aResponder.Send(std::move(response));
}

} // namespace toucanshed::standin
