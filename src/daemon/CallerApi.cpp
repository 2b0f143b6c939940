#include "CallerApi.h"

#include "CallerRequest.h"
#include "CallerResponses.h"
#include "CallerStream.h"
#include "Handover.h"
#include "ModelCall.h"
#include "PlainCall.h"
#include "WorkRunner.h"
#include "base/Hash.h"
#include "edge/MessageFields.h"

#include <boost/json.hpp>
#include <charconv>

namespace toucanshed {

namespace json = boost::json;

namespace {

constexpr std::string_view kServicePrefix = "/svc/";
constexpr std::string_view kWorkPrefix = "/v1/accepted/";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr Millis kDefaultDeadline{ 20000 };
constexpr Millis kMaxDeadline{ 600000 };

/** Data of a request whose team is authenticated. */
struct CallerContext
{
  RequestId id;
  TeamId team;
  TimePoint arrived;
  TimePoint deadline;
};

struct InFlightGuard
{
  std::atomic<std::uint64_t>& count;

  explicit InFlightGuard(std::atomic<std::uint64_t>& aCount)
    : count(aCount)
  {
    ++this->count;
  }
  ~InFlightGuard() { --this->count; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;
};

std::optional<TeamId>
AuthenticateTeam(const DaemonState& aState, const HttpRequest& aRequest)
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header = HeaderOf(aRequest, "Authorization");
  if (!header.starts_with(kScheme)) {
    return std::nullopt;
  }
  const auto found = aState.settings.teamsByTokenHash.find(
    Sha256Hex(std::string_view(header).substr(kScheme.size())));
  if (found == aState.settings.teamsByTokenHash.end()) {
    return std::nullopt;
  }
  return found->second;
}

tl::expected<TimePoint, ValidationError>
ParseDeadline(const HttpRequest& aRequest, TimePoint aNow)
{
  const std::string header = HeaderOf(aRequest, "Toucanshed-Deadline-Ms");
  if (header.empty()) {
    return aNow + kDefaultDeadline;
  }
  std::int64_t ms = 0;
  const char* end = header.data() + header.size();
  const auto parsed = std::from_chars(header.data(), end, ms);
  if (parsed.ec != std::errc{} || parsed.ptr != end || ms < 1 ||
      ms > kMaxDeadline.count()) {
    return tl::unexpected<ValidationError>(
      ValidationError{ "Toucanshed-Deadline-Ms",
                       "\"" + header + "\"",
                       "milliseconds from 1 to 600000" });
  }
  return aNow + Millis(ms);
}

std::optional<ServiceEntry>
FindServiceEntry(DaemonState& aState, const ServiceId& aService)
{
  return aState.control.WithLock(
    [&](ControlReader& aReader) -> std::optional<ServiceEntry> {
      const ServiceEntry* entry = aReader.Table().Find(aService);
      return entry == nullptr ? std::nullopt
                              : std::optional<ServiceEntry>(*entry);
    });
}

/** Records in events and metrics how a request ended. */
void
RecordOutcome(DaemonState& aState,
              const CallerContext& aCaller,
              const std::string& aOutcome)
{
  aState.events.Emit(Event("request.ended")
                       .With("request", aCaller.id)
                       .With("team", aCaller.team)
                       .With("outcome", aOutcome));
  aState.metrics.Count("toucanshed_requests_total",
                       "team=\"" + aCaller.team.value + "\",outcome=\"" +
                         aOutcome + "\"");
}

/** Sends a response with the request's id. */
Task<void>
SendResponse(DaemonState& aState,
             const CallerContext& aCaller,
             HttpResponse aResponse,
             HttpResponder& aResponder)
{
  RecordOutcome(aState, aCaller, HeaderOf(aResponse, kOutcomeHeader));
  aResponse.set(kRequestIdHeader, aCaller.id.value);
  co_await aResponder.Send(std::move(aResponse));
}

Task<void>
HandleStreaming(DaemonState& aState,
                Worker& aWorker,
                CallerContext aCaller,
                ModelRequest aRequest,
                std::optional<ResumePoint> aResumePoint,
                HttpResponder& aResponder)
{
  std::optional<HandedOverStream> handedOver;
  if (aResumePoint) {
    const RequestId earlier{ aResumePoint->request };
    handedOver = co_await FindHandedOverStream(aState, aWorker, earlier);
  }
  CallerStream writer(aRequest, std::move(aResumePoint), aResponder);
  ModelCall call(
    aState, aWorker, aRequest, [&writer](const std::string& aToken) {
      return writer.WriteToken(aToken);
    });
  call.AllowHandover();
  if (handedOver && co_await writer.ReplayTokens(handedOver->tokens)) {
    call.ResumeFrom(handedOver->tokens);
  }
  RequestResult result = co_await call.Run();
  if (writer.HasMismatch()) {
    result.outcome = RequestOutcome::eMayHaveRun;
    result.reason = "the answer cannot be resumed: its beginning came out "
                    "differently; ask again without Last-Event-ID";
  }
  const bool nothingSent = !aResponder.Started();
  if (nothingSent && result.outcome != RequestOutcome::eCompleted) {
    co_await SendResponse(aState, aCaller, FailureResponse(result), aResponder);
    co_return;
  }
  RecordOutcome(aState, aCaller, ToText(result.outcome));
  co_await writer.End(result);
}

Task<void>
HandleBuffered(DaemonState& aState,
               Worker& aWorker,
               CallerContext aCaller,
               ModelRequest aRequest,
               HttpResponder& aResponder)
{
  ModelCall call(aState, aWorker, aRequest, &AcceptToken);
  const RequestResult result = co_await call.Run();
  if (result.outcome != RequestOutcome::eCompleted) {
    co_await SendResponse(aState, aCaller, FailureResponse(result), aResponder);
    co_return;
  }
  HttpResponse response =
    MakeResponse(200,
                 CompletionJson(aCaller.id.value,
                                aRequest.service.value,
                                aRequest.route,
                                call.Response().Text(),
                                call.Response().TokenCount()));
  response.set(kOutcomeHeader, ToText(result.outcome));
  co_await SendResponse(aState, aCaller, std::move(response), aResponder);
}

Task<void>
HandleModelRequest(DaemonState& aState,
                   Worker& aWorker,
                   CallerContext aCaller,
                   const HttpRequest& aRequest,
                   HttpResponder& aResponder)
{
  const bool chat = PathOf(aRequest.target()) == kChatPath;
  const auto body = ParseModelRequestBody(aRequest.body(), chat);
  if (!body) {
    co_await SendResponse(
      aState, aCaller, ClientErrorResponse(400, body.error()), aResponder);
    co_return;
  }
  const ServiceId service{ body->model };
  const auto entry = FindServiceEntry(aState, service);
  if (!entry || entry->document.kind() != config::MODEL) {
    const ValidationError error{ "model",
                                 "\"" + body->model + "\"",
                                 "a model service that is configured" };
    co_await SendResponse(
      aState, aCaller, ClientErrorResponse(404, error), aResponder);
    co_return;
  }
  const std::string route = chat ? "chat" : "completions";
  if (HeaderOf(aRequest, "Prefer") == "respond-async") {
    HttpResponse response = co_await AcceptWork(
      aState, aWorker, aCaller.team, service, route, aRequest.body());
    co_await SendResponse(aState, aCaller, std::move(response), aResponder);
    co_return;
  }
  ModelRequest request;
  request.id = aCaller.id;
  request.team = aCaller.team;
  request.service = service;
  request.route = route;
  request.prompt = body->prompt;
  request.maxTokens = body->maxTokens;
  request.arrived = aCaller.arrived;
  request.deadline = aCaller.deadline;
  request.fingerprint = Fingerprint{ CombineHashes(
    Hash64(service.value),
    CombineHashes(Hash64(body->prompt), body->maxTokens)) };
  if (!body->stream) {
    co_await HandleBuffered(
      aState, aWorker, aCaller, std::move(request), aResponder);
    co_return;
  }
  auto resumePoint = ParseEventId(HeaderOf(aRequest, "Last-Event-ID"));
  co_await HandleStreaming(aState,
                           aWorker,
                           aCaller,
                           std::move(request),
                           std::move(resumePoint),
                           aResponder);
}

const config::Route*
MatchRoute(const config::ServiceDocument& aDocument, std::string_view aPath)
{
  const config::Route* longest = nullptr;
  for (const config::Route& route : aDocument.routes()) {
    const bool isLonger =
      longest == nullptr || route.prefix().size() > longest->prefix().size();
    if (aPath.starts_with(route.prefix()) && isLonger) {
      longest = &route;
    }
  }
  return longest;
}

HttpResponse
MakePlainResponse(const PlainCallResult& aResult)
{
  if (aResult.callerError) {
    constexpr unsigned kUnprocessable = 422;
    return ClientErrorResponse(kUnprocessable, *aResult.callerError);
  }
  if (aResult.result.outcome != RequestOutcome::eCompleted) {
    return FailureResponse(aResult.result);
  }
  HttpResponse response = MakeResponse(aResult.response.status,
                                       aResult.response.body,
                                       aResult.response.contentType);
  response.set(kOutcomeHeader, ToText(RequestOutcome::eCompleted));
  return response;
}

Task<HttpResponse>
HandlePlainRequest(DaemonState& aState,
                   Worker& aWorker,
                   CallerContext aCaller,
                   const HttpRequest& aRequest)
{
  const std::string_view rest =
    std::string_view(aRequest.target()).substr(kServicePrefix.size());
  const auto slash = rest.find('/');
  const std::string name(rest.substr(0, slash));
  const auto entry = FindServiceEntry(aState, ServiceId{ name });
  if (!entry || entry->document.kind() != config::PLAIN ||
      slash == std::string_view::npos) {
    co_return ClientErrorResponse(
      404,
      ValidationError{ "path",
                       "\"" + name + "\"",
                       "/svc/SERVICE/... of a plain service "
                       "that is configured" });
  }
  const std::string target(rest.substr(slash));
  const config::Route* route = MatchRoute(entry->document, PathOf(target));
  if (route == nullptr) {
    co_return ClientErrorResponse(404,
                                  ValidationError{ "path",
                                                   "\"" + target + "\"",
                                                   "a route of the service" });
  }
  PlainRequest request;
  request.id = aCaller.id;
  request.team = aCaller.team;
  request.service = ServiceId{ name };
  request.route = *route;
  request.method = aRequest.method();
  request.target = target;
  request.contentType = HeaderOf(aRequest, "Content-Type");
  request.body = aRequest.body();
  request.deadline = aCaller.deadline;
  request.fingerprint = Fingerprint{ CombineHashes(
    Hash64(target, static_cast<std::uint64_t>(aRequest.method())),
    Hash64(aRequest.body())) };
  if (route->repeatable()) {
    co_return MakePlainResponse(
      co_await RunRetryable(aState, aWorker, std::move(request)));
  }
  request.idempotencyKey = HeaderOf(aRequest, "Idempotency-Key");
  if (request.idempotencyKey.empty()) {
    co_return ClientErrorResponse(
      400,
      ValidationError{ "Idempotency-Key",
                       "nothing",
                       "a key, as this route may not be "
                       "repeated" });
  }
  co_return MakePlainResponse(
    co_await RunAtMostOnce(aState, aWorker, std::move(request)));
}

Task<void>
Dispatch(DaemonState& aState,
         Worker& aWorker,
         CallerContext aCaller,
         const HttpRequest& aRequest,
         HttpResponder& aResponder)
{
  const std::string_view path = PathOf(aRequest.target());
  if (path == kChatPath || path == kCompletionsPath) {
    if (aRequest.method() == http::verb::post) {
      co_await HandleModelRequest(
        aState, aWorker, aCaller, aRequest, aResponder);
    } else {
      co_await SendResponse(aState,
                            aCaller,
                            ClientErrorResponse(405, "POST is expected"),
                            aResponder);
    }
    co_return;
  }
  if (path.starts_with(kWorkPrefix)) {
    const WorkId work{ std::string(path.substr(kWorkPrefix.size())) };
    HttpResponse response = WorkStatusResponse(aState, aCaller.team, work);
    co_await SendResponse(aState, aCaller, std::move(response), aResponder);
    co_return;
  }
  if (path.starts_with(kServicePrefix)) {
    HttpResponse response =
      co_await HandlePlainRequest(aState, aWorker, aCaller, aRequest);
    co_await SendResponse(aState, aCaller, std::move(response), aResponder);
    co_return;
  }
  const ValidationError error{ "path",
                               "\"" + std::string(path) + "\"",
                               "/v1/chat/completions, /v1/completions, "
                               "/v1/accepted/ID or /svc/SERVICE/..." };
  co_await SendResponse(
    aState, aCaller, ClientErrorResponse(404, error), aResponder);
}

} // namespace

Task<void>
HandleCaller(DaemonState& aState,
             Worker& aWorker,
             const HttpRequest& aRequest,
             HttpResponder& aResponder)
{
  const InFlightGuard counted(aState.inFlight);
  CallerContext caller;
  caller.id = RequestId{ aState.NewId("r") };
  caller.arrived = aState.Now();
  const auto team = AuthenticateTeam(aState, aRequest);
  if (!team) {
    const ValidationError error{ "Authorization",
                                 "no token that is known",
                                 "Bearer TOKEN of a team" };
    co_await SendResponse(
      aState, caller, ClientErrorResponse(401, error), aResponder);
    co_return;
  }
  caller.team = *team;
  const auto deadline = ParseDeadline(aRequest, caller.arrived);
  if (!deadline) {
    co_await SendResponse(
      aState, caller, ClientErrorResponse(400, deadline.error()), aResponder);
    co_return;
  }
  caller.deadline = *deadline;
  if (aState.inFlight > aState.settings.maxInFlight) {
    const RequestResult full{ RequestOutcome::eNotRun,
                              "this daemon is full",
                              1 };
    co_await SendResponse(aState, caller, FailureResponse(full), aResponder);
    co_return;
  }
  co_await Dispatch(aState, aWorker, caller, aRequest, aResponder);
}

} // namespace toucanshed
