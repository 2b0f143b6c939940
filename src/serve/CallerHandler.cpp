#include "CallerHandler.h"

#include "CatalogSync.h"
#include "LocalResponses.h"
#include "RelayFields.h"
#include "RequestForwarder.h"
#include "ServingState.h"
#include "base/Hash.h"
#include "edge/Worker.h"

namespace toucanshed {

namespace {

/** Why a request is not admitted, and the response it gets. */
struct Refusal
{
  unsigned status = 0;
  std::string reason;
  std::optional<Millis> retryDelay;
  TeamId team;
  std::optional<int> priority = std::nullopt; // once its route is known
};

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kServiceUnavailable = 503;

/** Equal for all attempts of one request by one caller. */
SuspectId
RequestSuspect(const IncomingRequest& aRequest)
{
  const std::uint64_t content =
    CombineHashes(Hash64(aRequest.target), Hash64(aRequest.message->body()));
  return SuspectId{ CombineHashes(content, Hash64(aRequest.key)) };
}

/** The sections of a prompt are those of one service: its back ends run one
 * model, and what crashes them need not crash those of another. The last
 * section is the request's own. */
std::vector<SuspectId>
SuspectsOf(const IncomingRequest& aRequest, const ServiceId& aService)
{
  std::vector<SuspectId> suspects;
  const std::uint64_t service = Hash64(aService.value);
  for (std::size_t i = 0; i + 1 < aRequest.prompt.size(); ++i) {
    suspects.push_back(
      SuspectId{ CombineHashes(service, Hash64(aRequest.prompt[i].id)) });
  }
  suspects.push_back(RequestSuspect(aRequest));
  return suspects;
}

/** Picks one of the route's services by weight. All daemons pick the same one
 * for an attempt id. */
ServiceId
PickService(const Route& aRoute, const AttemptId& aAttempt)
{
  std::uint64_t sum = 0;
  for (const RouteTarget& target : aRoute.targets) {
    sum += target.weight;
  }
  if (sum == 0) {
    return {};
  }
  std::uint64_t point = Hash64(aAttempt.value) % sum;
  for (const RouteTarget& target : aRoute.targets) {
    if (point < target.weight) {
      return target.service;
    }
    point -= target.weight;
  }
  return {};
}

double
QuotaCostOf(const Team& aTeam, const IncomingRequest& aRequest)
{
  if (!aTeam.countsTokens) {
    return 1;
  }
  if (!aRequest.hasTokenCounts) {
    return static_cast<double>(aTeam.defaultTokens);
  }
  return static_cast<double>(aRequest.promptTokens + aRequest.maxOutputTokens);
}

/** What is read now has waited for as long as the loop is behind. */
TimePoint
ArrivalTime(const ServingState& aState)
{
  const TimePoint now = ServingState::Now();
  return now - aState.loopLag.At(now);
}

/** A daemon that has just started reads the configuration and the list of back
 * ends within half a second. Requests that arrive before are held for at most
 * this long and this fraction of their time: when all daemons have restarted,
 * no other one could serve them sooner, and a rejected caller returns late. */
constexpr Millis kMaxStartWait{ 1000 };
constexpr int kStartWaitDivisor = 4;
constexpr Millis kStartPollInterval{ 5 };

/** Waits until a daemon that has just started can serve requests. */
Task<void>
AwaitStart(const ServingState& aState,
           std::optional<Millis> aCallerTimeout,
           HttpResponder& aResponder)
{
  const Millis ownTime =
    aCallerTimeout.value_or(kMaxStartWait) / kStartWaitDivisor;
  const TimePoint end = ServingState::Now() + std::min(kMaxStartWait, ownTime);
  const auto isStarting = [&aState] {
    const bool hasRead = aState.catalog != nullptr && aState.backendsRead;
    return !hasRead && !aState.stopping && !aState.storeLostSince;
  };
  while (isStarting() && ServingState::Now() < end &&
         !aResponder.HasReceiverLeft()) {
    co_await Sleep(kStartPollInterval);
  }
}

/** \param aRelayed another daemon has admitted the request, and counted it
 *   against its team's limit */
tl::expected<ServingRequest, Refusal>
Admit(ServingState& aState,
      IncomingRequest aIncoming,
      TimePoint aArrived,
      bool aRelayed)
{
  const TimePoint now = ServingState::Now();
  ServingRequest request;
  request.incoming = std::move(aIncoming);
  request.catalog = aState.catalog;
  request.arrived = aArrived;
  request.relayed = aRelayed;
  const Millis callerTimeout =
    request.incoming.callerTimeout.value_or(Millis(0));
  if (request.catalog == nullptr) {
    return tl::unexpected(Refusal{ kServiceUnavailable,
                                   "no configuration yet",
                                   RetryDelayFor(aState, callerTimeout),
                                   {} });
  }
  request.route = request.catalog->FindRoute(request.incoming.host,
                                             PathOf(request.incoming.target));
  if (request.route == nullptr) {
    return tl::unexpected(Refusal{ kNotFound, "no route", std::nullopt, {} });
  }
  if (!request.route->isPublic && !request.catalog->teams.empty()) {
    request.team = request.catalog->FindTeam(request.incoming.key);
    if (request.team == nullptr) {
      return tl::unexpected(
        Refusal{ kUnauthorized, "unknown key", std::nullopt, {} });
    }
  }
  const Millis allowed = request.incoming.callerTimeout
                           ? std::min(callerTimeout, request.route->timeout)
                           : request.route->timeout;
  request.deadline = request.arrived + allowed;
  if (!aState.MayTake(request.deadline)) {
    return tl::unexpected(Refusal{ kServiceUnavailable,
                                   "this daemon stops",
                                   RetryDelayFor(aState, callerTimeout),
                                   {},
                                   request.Priority() });
  }
  request.service = PickService(*request.route, request.incoming.attempt);
  request.suspects = SuspectsOf(request.incoming, request.service);
  const CrashSuspicion suspicion =
    aState.crashSuspects.SuspicionOf(request.suspects, aState.ClusterNow());
  if (suspicion == CrashSuspicion::eBlocked) {
    aState.metrics.Count("toucanshed_blocked_requests_total");
    return tl::unexpected(Refusal{ kBadGateway,
                                   ToText(GateRefusal::eCrashesBackends),
                                   std::nullopt,
                                   {},
                                   request.Priority() });
  }
  if (request.team != nullptr && !aRelayed) {
    aState.UpdateQuotas(now);
    const auto wait = aState.quotas.TryTake(
      *request.team, QuotaCostOf(*request.team, request.incoming), now);
    if (wait) {
      return tl::unexpected(Refusal{ kTooManyRequests,
                                     "over the team's limit",
                                     *wait,
                                     request.team->id,
                                     request.Priority() });
    }
    if (aState.quotas.MustReportNow(request.team->id, aState.DaemonCount())) {
      aState.sendQuota(request.team->id);
    }
  }
  return request;
}

Task<void>
SendRefusal(ServingState& aState,
            HttpResponder& aResponder,
            AttemptId aAttempt,
            Refusal aRefusal,
            bool aRelayed = false)
{
  aState.metrics.Count("toucanshed_refusals_total",
                       "status=\"" + std::to_string(aRefusal.status) + "\"");
  aState.log.Emit(
    Event("request.refused")
      .With("request", aAttempt)
      .With("status", aRefusal.status)
      .With("why", aRefusal.reason)
      .With("team", aRefusal.team)
      .With("priority",
            aRefusal.priority ? std::to_string(*aRefusal.priority) : "")
      .With("come_back_ms", aRefusal.retryDelay.value_or(Millis(0)).count())
      .With("catalog", aState.catalog ? aState.catalog->version : 0));
  HttpResponse response = MakeLocalResponse(
    aState, aAttempt, aRefusal.status, aRefusal.reason, aRefusal.retryDelay);
  if (aRelayed) {
    WriteRelayOutcome({ RelayOutcome::Kind::eRefused, 0, std::nullopt },
                      response);
  }
  co_await aResponder.Send(std::move(response));
}

/** Counts a request as in progress during the guard's lifetime. */
struct InProgressGuard
{
  std::size_t& count;

  explicit InProgressGuard(std::size_t& aCount)
    : count(aCount)
  {
    ++this->count;
  }
  ~InProgressGuard() { --this->count; }
  InProgressGuard(const InProgressGuard&) = delete;
  InProgressGuard& operator=(const InProgressGuard&) = delete;
};

/** Requests of other daemons at one time. With more, they find others with
 * room, and this one's own callers keep theirs. */
constexpr std::size_t kMaxRelays = 256;

/** Why a request of another daemon is not accepted; nothing if it is. */
std::optional<std::string>
RelayRefusal(const ServingState& aState, const RelayTerms& aTerms)
{
  if (aState.engineReach.IsCut()) {
    return "this daemon reaches no engine either";
  }
  if (aState.stopping) {
    return "this daemon stops";
  }
  if (aState.relaysInProgress >= kMaxRelays) {
    return "this daemon has too many requests of others";
  }
  const bool isOlder = aState.catalog == nullptr ||
                       aState.catalog->version < aTerms.catalogVersion;
  if (isOlder) {
    return "this daemon has an older configuration";
  }
  return std::nullopt;
}

} // namespace

Task<void>
HandleRelayedRequest(ServingState& aState,
                     HttpRequest& aMessage,
                     HttpResponder& aResponder)
{
  if (aMessage.target() == kCatalogPath) {
    co_await SendCatalogRecord(aState, aResponder);
    co_return;
  }
  const InProgressGuard inProgress(aState.inProgress);
  const InProgressGuard relayInProgress(aState.relaysInProgress);
  const auto terms = TakeRelayTerms(aMessage);
  auto incoming =
    terms ? aState.wire.callers.read(aMessage) : tl::unexpected(terms.error());
  if (!incoming) {
    Refusal refusal{ kBadRequest, incoming.error().message, std::nullopt, {} };
    AttemptId unknown;
    co_await SendRefusal(
      aState, aResponder, std::move(unknown), std::move(refusal), true);
    co_return;
  }
  AttemptId attempt = incoming->attempt;
  if (const auto reason = RelayRefusal(aState, *terms)) {
    Refusal refusal{ kServiceUnavailable, *reason, std::nullopt, {} };
    co_await SendRefusal(
      aState, aResponder, std::move(attempt), std::move(refusal), true);
    co_return;
  }
  incoming->callerTimeout = terms->timeLeft;
  incoming->resumeAfter = terms->resumeAfter;
  auto admitted =
    Admit(aState, std::move(*incoming), ArrivalTime(aState), true);
  if (!admitted) {
    Refusal refusal = std::move(admitted.error());
    co_await SendRefusal(
      aState, aResponder, std::move(attempt), std::move(refusal), true);
    co_return;
  }
  RequestForwarder forwarder(aState, std::move(*admitted), aResponder);
  co_await forwarder.Run();
}

Task<void>
HandleCallerRequest(ServingState& aState,
                    const HttpRequest& aMessage,
                    HttpResponder& aResponder)
{
  const InProgressGuard inProgress(aState.inProgress);
  auto incoming = aState.wire.callers.read(aMessage);
  if (!incoming) {
    Refusal refusal{ kBadRequest, incoming.error().message, std::nullopt, {} };
    AttemptId unknown;
    co_await SendRefusal(
      aState, aResponder, std::move(unknown), std::move(refusal));
    co_return;
  }
  AttemptId attempt = incoming->attempt;
  const TimePoint arrived = ArrivalTime(aState);
  co_await AwaitStart(aState, incoming->callerTimeout, aResponder);
  auto admitted = Admit(aState, std::move(*incoming), arrived, false);
  if (!admitted) {
    Refusal refusal = std::move(admitted.error());
    co_await SendRefusal(
      aState, aResponder, std::move(attempt), std::move(refusal));
    co_return;
  }
  RequestForwarder forwarder(aState, std::move(*admitted), aResponder);
  co_await forwarder.Run();
}

} // namespace toucanshed
