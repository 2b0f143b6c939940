#include "PlainCall.h"

#include "VersionShares.h"
#include "base/Hash.h"
#include "edge/HttpExchange.h"
#include "edge/MessageFields.h"

namespace toucanshed {

namespace {

constexpr Millis kConnectTimeout{ 300 };
constexpr Millis kFailureBackoff{ 1000 };
constexpr Millis kLogTimeout{ 3000 };
constexpr std::size_t kMaxTries = 4;
constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kFirstServerError = 500;

/** How one attempt to send a call ended. */
enum class SendStatus
{
  eResponded,
  eNotSent, // no byte has reached the back end
  eUnclear, // it may have run
};

struct SendResult
{
  SendStatus status = SendStatus::eUnclear;
  ClaimOutcome response;
  std::string reason;
};

PlainCallResult
FailedWith(RequestOutcome aOutcome, std::string aReason)
{
  PlainCallResult callResult;
  callResult.result = RequestResult{ aOutcome, std::move(aReason), 1 };
  return callResult;
}

PlainCallResult
CompletedWith(ClaimOutcome aResponse)
{
  PlainCallResult callResult;
  callResult.result = RequestResult{ RequestOutcome::eCompleted, {}, 0 };
  callResult.response = std::move(aResponse);
  return callResult;
}

PlainCallResult
InvalidRequest(std::string aMessage)
{
  PlainCallResult callResult = FailedWith(RequestOutcome::eNotRun, aMessage);
  callResult.callerError = std::move(aMessage);
  return callResult;
}

/** Whether nothing shows that the back end did not stop after the head: an
 * empty response states its length. */
bool
LacksBody(const HttpResponse& aResponse)
{
  const unsigned status = aResponse.result_int();
  const bool endsWithConnection =
    !aResponse.has_content_length() && !aResponse.chunked();
  return status >= kOk && status < kFirstRedirect && status != kNoContent &&
         endsWithConnection && aResponse.body().empty();
}

Task<SendResult>
CallBackend(DaemonState& aState,
            Worker& aWorker,
            const PlainRequest& aRequest,
            EngineChoice aChoice,
            AttemptId aAttempt)
{
  SendResult result;
  const auto endpoint = ParseEndpoint(aChoice.address);
  if (!endpoint) {
    result.status = SendStatus::eNotSent;
    co_return result;
  }
  HttpRequest request = MakeRequest(
    aRequest.method, aRequest.target, aRequest.body, aRequest.contentType);
  request.set("Attempt-Id", aAttempt.value);
  request.set("Toucanshed-Request", aRequest.id.value);
  const bool atMostOnce = !aRequest.idempotencyKey.empty();
  if (atMostOnce) {
    request.set("Idempotency-Key", aRequest.idempotencyKey);
  }
  CallTimeouts timeouts;
  timeouts.connect = kConnectTimeout;
  timeouts.head = Millis(aRequest.route.timeout_ms());
  timeouts.bodyIdle = timeouts.head;
  // A call that may not be repeated uses a new connection. If a send fails on a
  // reused connection, it is unknown whether the back end has received the
  // call.
  PreSendCheck check = aState.UsableCheck(aChoice.IncarnationKey());
  auto response = co_await Fetch(aWorker,
                                 *endpoint,
                                 std::move(request),
                                 timeouts,
                                 atMostOnce,
                                 std::move(check));
  if (!response) {
    const bool notSent = response.error().phase == CallPhase::eConnect;
    result.status = notSent ? SendStatus::eNotSent : SendStatus::eUnclear;
    result.reason = response.error().message;
    co_return result;
  }
  const std::string echoedAttempt = HeaderOf(*response, "Attempt-Id");
  if (!echoedAttempt.empty() && echoedAttempt != aAttempt.value) {
    aState.metrics.Count("toucanshed_crossed_answers_total");
    result.reason = "the answer belongs to another attempt";
    co_return result;
  }
  if (LacksBody(*response)) {
    result.reason = "the connection ended before the body";
    co_return result;
  }
  result.status = SendStatus::eResponded;
  result.response = ClaimOutcome{ false,
                                  response->result_int(),
                                  HeaderOf(*response, "Content-Type"),
                                  response->body() };
  co_return result;
}

std::optional<EngineChoice>
PickBackend(DaemonState& aState,
            const PlainRequest& aRequest,
            const std::set<std::string>& aExcluded)
{
  RouteRequest route;
  route.service = aRequest.service;
  route.version = ChooseVersion(CurrentShares(aState, aRequest.service),
                                Hash64(aRequest.id.value));
  route.zone = aState.settings.zone;
  route.excluded = aExcluded;
  const TimePoint now = aState.Now();
  return aState.router.WithLock(
    [&](Router& aRouter) { return aRouter.Pick(route, now); });
}

void
RecordSendResult(DaemonState& aState,
                 const PlainRequest& aRequest,
                 const EngineChoice& aChoice,
                 const SendResult& aResult,
                 double aMs)
{
  EngineResult engineResult;
  engineResult.completed = aResult.status == SendStatus::eResponded;
  engineResult.firstTokenMs = engineResult.completed ? aMs : -1;
  engineResult.totalMs = aMs;
  const TimePoint downUntil = aState.Now() + kFailureBackoff;
  aState.router.WithLock([&](Router& aRouter) {
    aRouter.Finish(aChoice, engineResult);
    if (aResult.status == SendStatus::eNotSent) {
      aRouter.MarkDown(aChoice.IncarnationKey(), downUntil);
    }
  });
  Observation observation;
  observation.error = aResult.status != SendStatus::eResponded ||
                      aResult.response.status >= kFirstServerError;
  observation.firstTokenMs = aMs;
  RecordObservation(aState,
                    aRequest.service,
                    aChoice.version,
                    aRequest.route.prefix(),
                    observation);
}

/** Sends a call to one back end, and records the result at the router, which
 * releases the slot. */
Task<SendResult>
SendAndRecord(DaemonState& aState,
              Worker& aWorker,
              const PlainRequest& aRequest,
              const EngineChoice& aChoice,
              const AttemptId& aAttempt)
{
  aState.events.Emit(Event("attempt.sent")
                       .With("request", aRequest.id)
                       .With("attempt", aAttempt)
                       .With("backend", aChoice.IncarnationKey()));
  const auto start = std::chrono::steady_clock::now();
  SendResult result =
    co_await CallBackend(aState, aWorker, aRequest, aChoice, aAttempt);
  const double ms = std::chrono::duration<double, std::milli>(
                      std::chrono::steady_clock::now() - start)
                      .count();
  RecordSendResult(aState, aRequest, aChoice, result, ms);
  co_return result;
}

} // namespace

Task<PlainCallResult>
RunRetryable(DaemonState& aState, Worker& aWorker, PlainRequest aRequest)
{
  aState.retryBudget.WithLock(
    [](RetryBudget& aBudget) { aBudget.RecordRequest(); });
  std::set<std::string> tried;
  std::string reason = "no back end serves it now";
  bool sent = false;
  for (std::size_t tries = 0; tries < kMaxTries; ++tries) {
    const auto choice = PickBackend(aState, aRequest, tried);
    if (!choice) {
      break;
    }
    const AttemptId attempt{ aState.NewId("a") };
    const SendResult result =
      co_await SendAndRecord(aState, aWorker, aRequest, *choice, attempt);
    const bool succeeded = result.status == SendStatus::eResponded &&
                           result.response.status < kFirstServerError;
    if (succeeded) {
      co_return CompletedWith(result.response);
    }
    sent = sent || result.status != SendStatus::eNotSent;
    reason = result.reason.empty() ? "the back end failed" : result.reason;
    tried.insert(choice->IncarnationKey());
    const bool mayRetry = result.status == SendStatus::eNotSent ||
                          aState.retryBudget.WithLock([](RetryBudget& aBudget) {
                            return aBudget.TryTakeRetry();
                          });
    if (!mayRetry) {
      break;
    }
  }
  co_return FailedWith(
    sent ? RequestOutcome::eMayHaveRun : RequestOutcome::eNotRun, reason);
}

namespace {

/** Waits until the claim is read back from the log, at most kLogTimeout. */
Task<ClaimPhase>
AwaitReadBack(DaemonState& aState, Worker& aWorker, AttemptId aAttempt)
{
  ClaimPhase phase = ClaimPhase::eClaiming;
  const TimePoint deadline = aState.Now() + kLogTimeout;
  co_await AwaitApplied(aState, aWorker, deadline, [&] {
    phase = *aState.claims.WithLock(
      [&](ClaimCoordinator& aClaims) { return aClaims.PhaseOf(aAttempt); });
    return phase != ClaimPhase::eClaiming;
  });
  co_return phase;
}

/** Whether the incarnation that claimed a call is still a live daemon. */
bool
IsClaimantAlive(DaemonState& aState, const WriterId& aClaimant)
{
  if (aClaimant == aState.writer) {
    return true;
  }
  return aState.membership.WithLock([&](Membership& aMembers) {
    for (const auto& [id, view] : aMembers.Others()) {
      const std::string incarnationKey =
        id + "/" + std::to_string(view.member.life());
      if (incarnationKey == aClaimant.value) {
        return view.member.status() != peer::DEAD;
      }
    }
    return false;
  });
}

std::optional<ClaimEntry>
FindClaimEntry(DaemonState& aState, const IdempotencyKey& aKey)
{
  return aState.claims.WithLock(
    [&](ClaimCoordinator& aClaims) -> std::optional<ClaimEntry> {
      const ClaimEntry* found = aClaims.Table().Find(aKey);
      return found == nullptr ? std::nullopt
                              : std::optional<ClaimEntry>(*found);
    });
}

/** Waits for the end of a call that another attempt has claimed. Stops waiting
 * if the claimant is dead, because no other daemon may run its call. */
Task<PlainCallResult>
AwaitOtherAttempt(DaemonState& aState,
                  Worker& aWorker,
                  const PlainRequest& aRequest,
                  IdempotencyKey aKey)
{
  std::optional<ClaimEntry> entry;
  co_await AwaitApplied(aState, aWorker, aRequest.deadline, [&] {
    entry = FindClaimEntry(aState, aKey);
    return !entry || entry->outcome ||
           entry->fingerprint != aRequest.fingerprint ||
           !IsClaimantAlive(aState, entry->claimant);
  });
  if (!entry) {
    co_return FailedWith(RequestOutcome::eNotRun,
                         "an earlier call with this key was given up");
  }
  if (entry->fingerprint != aRequest.fingerprint) {
    co_return InvalidRequest("Idempotency-Key: given a key that was used for "
                             "another request, allowed a new key");
  }
  if (!entry->outcome) {
    co_return FailedWith(RequestOutcome::eMayHaveRun,
                         "an earlier call with this key has not ended");
  }
  if (entry->outcome->unclear) {
    co_return FailedWith(RequestOutcome::eMayHaveRun,
                         "an earlier call with this key ended unclear");
  }
  co_return CompletedWith(*entry->outcome);
}

/** Abandons an attempt that was not sent. */
PlainCallResult
AbandonCall(DaemonState& aState, const AttemptId& aAttempt, std::string aReason)
{
  aState.claims.WithLock([&](ClaimCoordinator& aClaims) {
    Invariant(aClaims.Abandon(aAttempt),
              "an attempt that was not sent can be abandoned");
    aClaims.Release(aAttempt);
  });
  aState.appendRequested.NotifyAll();
  return FailedWith(RequestOutcome::eNotRun, std::move(aReason));
}

/** Sends a claimed call, at most once. A back end that is unreachable has
 * received nothing, so another one may be tried. After the first byte was sent,
 * there is no further attempt. */
Task<PlainCallResult>
SendClaimed(DaemonState& aState,
            Worker& aWorker,
            const PlainRequest& aRequest,
            AttemptId aAttempt)
{
  std::set<std::string> tried;
  SendResult result;
  result.status = SendStatus::eNotSent;
  result.reason = "no back end serves it now";
  while (result.status == SendStatus::eNotSent && tried.size() < kMaxTries) {
    const auto choice = PickBackend(aState, aRequest, tried);
    if (!choice) {
      break;
    }
    tried.insert(choice->IncarnationKey());
    result =
      co_await SendAndRecord(aState, aWorker, aRequest, *choice, aAttempt);
  }
  PlainCallResult callResult;
  aState.claims.WithLock([&](ClaimCoordinator& aClaims) {
    if (result.status == SendStatus::eResponded) {
      aClaims.Complete(aAttempt, result.response);
      callResult = CompletedWith(result.response);
    } else if (result.status == SendStatus::eUnclear) {
      aClaims.MarkUnclear(aAttempt);
      callResult = FailedWith(RequestOutcome::eMayHaveRun, result.reason);
    } else {
      // Dispatched, but no byte was sent: the attempt ends and the key may be
      // used again.
      aClaims.AbandonUnsent(aAttempt);
      callResult = FailedWith(RequestOutcome::eNotRun, result.reason);
    }
    aClaims.Release(aAttempt);
  });
  aState.appendRequested.NotifyAll();
  co_return callResult;
}

} // namespace

Task<PlainCallResult>
RunAtMostOnce(DaemonState& aState, Worker& aWorker, PlainRequest aRequest)
{
  const IdempotencyKey key{ aRequest.team.value + "/" + aRequest.service.value +
                            "/" + aRequest.idempotencyKey };
  const AttemptId attempt{ aState.NewId("a") };
  const TimePoint now = aState.Now();
  const KeyStatus keyStatus =
    aState.claims.WithLock([&](ClaimCoordinator& aClaims) {
      return aClaims.TryClaim(key, aRequest.fingerprint, attempt, now);
    });
  if (keyStatus == KeyStatus::eOutsideWindow) {
    co_return InvalidRequest("Idempotency-Key: given a time outside the window "
                             "kept, allowed a key made just now");
  }
  if (keyStatus != KeyStatus::eClaiming) {
    co_return co_await AwaitOtherAttempt(aState, aWorker, aRequest, key);
  }
  aState.appendRequested.NotifyAll();
  const ClaimPhase phase = co_await AwaitReadBack(aState, aWorker, attempt);
  if (phase == ClaimPhase::eHeldByOther) {
    aState.claims.WithLock(
      [&](ClaimCoordinator& aClaims) { aClaims.Release(attempt); });
    co_return co_await AwaitOtherAttempt(aState, aWorker, aRequest, key);
  }
  if (phase == ClaimPhase::eClaiming) {
    co_return AbandonCall(aState, attempt, "the log does not answer");
  }
  const TimePoint sendTime = aState.Now();
  const bool dispatched =
    aState.claims.WithLock([&](ClaimCoordinator& aClaims) {
      return aClaims.Dispatch(attempt, sendTime);
    });
  if (!dispatched) {
    co_return AbandonCall(aState, attempt, "the key has grown too old");
  }
  co_return co_await SendClaimed(aState, aWorker, aRequest, attempt);
}

} // namespace toucanshed
