#include "CallerResponses.h"

#include <boost/json.hpp>

namespace toucanshed {

namespace json = boost::json;

namespace {

constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kTooManyRequests = 429;

std::string
ErrorJson(const std::string& aType, const std::string& aMessage)
{
  const json::object error{ { "type", aType }, { "message", aMessage } };
  return json::serialize(json::object{ { "error", error } }) + "\n";
}

} // namespace

std::string
ToText(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::eCompleted:
      return "completed";
    case RequestOutcome::eNotRun:
      return "not-run";
    case RequestOutcome::eMayHaveRun:
      return "may-have-run";
    case RequestOutcome::eHandedOver:
      return "handed-over";
  }
  return "may-have-run";
}

HttpResponse
ClientErrorResponse(unsigned aStatus, const std::string& aMessage)
{
  HttpResponse reply =
    MakeResponse(aStatus, ErrorJson("invalid_request_error", aMessage));
  reply.set(kOutcomeHeader, ToText(RequestOutcome::eNotRun));
  return reply;
}

HttpResponse
ClientErrorResponse(unsigned aStatus, const ValidationError& aComplaint)
{
  return ClientErrorResponse(aStatus,
                             aComplaint.path + ": given " + aComplaint.given +
                               ", allowed " + aComplaint.allowed);
}

std::string
FailureJson(const RequestResult& aEnd)
{
  return ErrorJson(ToText(aEnd.outcome), aEnd.reason);
}

HttpResponse
FailureResponse(const RequestResult& aEnd)
{
  unsigned status = kBadGateway;
  if (aEnd.outcome == RequestOutcome::eNotRun) {
    status = aEnd.teamQueueFull ? kTooManyRequests : kServiceUnavailable;
  }
  HttpResponse reply = MakeResponse(status, FailureJson(aEnd));
  reply.set(kOutcomeHeader, ToText(aEnd.outcome));
  reply.set(http::field::retry_after, std::to_string(aEnd.retryAfterSeconds));
  return reply;
}

} // namespace toucanshed
