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
  HttpResponse response =
    MakeResponse(aStatus, ErrorJson("invalid_request_error", aMessage));
  response.set(kOutcomeHeader, ToText(RequestOutcome::eNotRun));
  return response;
}

HttpResponse
ClientErrorResponse(unsigned aStatus, const ValidationError& aError)
{
  return ClientErrorResponse(aStatus,
                             aError.path + ": given " + aError.given +
                               ", allowed " + aError.allowed);
}

std::string
FailureJson(const RequestResult& aResult)
{
  return ErrorJson(ToText(aResult.outcome), aResult.reason);
}

HttpResponse
FailureResponse(const RequestResult& aResult)
{
  unsigned status = kBadGateway;
  if (aResult.outcome == RequestOutcome::eNotRun) {
    status = aResult.teamQueueFull ? kTooManyRequests : kServiceUnavailable;
  }
  HttpResponse response = MakeResponse(status, FailureJson(aResult));
  response.set(kOutcomeHeader, ToText(aResult.outcome));
  response.set(http::field::retry_after,
               std::to_string(aResult.retryAfterSeconds));
  return response;
}

} // namespace toucanshed
