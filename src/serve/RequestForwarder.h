/** \file
 * Takes one admitted request to its end: chooses back ends, sends, relays the
 * answer, and decides what the caller is told when that fails.
 */
#pragma once

#include "ServingRequest.h"
#include "coord/BackendTable.h"
#include "coord/DeferralPolicy.h"
#include "coord/EngineLimits.h"
#include "coord/EventSplitter.h"
#include "coord/Placement.h"
#include "edge/HttpExchange.h"
#include "edge/HttpResponder.h"

#include <set>

namespace toucanshed {

class BackendLoadGuard;
struct BackendResponseHead;
struct ServingState;

/** How one send to a back end ended. */
enum class SendOutcome
{
  eAnswered,   // the caller has the whole answer
  eNotRun,     // it did not run there: the back end says so, or never got it
  eMayHaveRun, // no whole answer; it may have run
  eDeadlineExceeded,   // the request's time was over
  eCallerDisconnected, // the caller has hung up
};

/**
 * What may be said at the end follows from one flag: whether a back end may
 * have run the request. While it is unset a failure is told as "not run, come
 * back"; once set it never is.
 *
 * Thread safety: none; belongs to the worker of the caller's connection.
 */
class RequestForwarder
{
public:
  /** Both references must outlive Run. */
  RequestForwarder(ServingState& aState,
                   ServingRequest aRequest,
                   HttpResponder& aResponder);

  /** Precondition: called once. */
  Task<void> Run();

private:
  /** The back end to send to next; nothing when there is none. */
  std::optional<Placement> ChooseBackend();
  /** Leaves out back ends whose limits have no room, notes when they will, and
   * which ones have room. */
  void ExcludeRateLimited(std::vector<Backend*>& aBackends,
                          std::set<InstanceId>& aHaveRoom,
                          TimePoint aNow);
  [[nodiscard]] DeferralDecision DecideDeferral(const Placement& aPlacement);
  [[nodiscard]] bool TakeSendAttempt();
  Task<SendOutcome> SendToBackend(Placement aPlacement);
  /** Whether a back end that was chosen may still be sent to, once there is a
   * connection to it. Takes the send from its limit if it has named one
   * meanwhile. */
  [[nodiscard]] bool ConfirmSend(const InstanceId& aBackend);
  Task<SendOutcome> Relay(HttpExchange& aExchange, const Placement& aPlacement);
  Task<SendOutcome> RelayStream(HttpExchange& aExchange,
                                const Placement& aPlacement);
  Task<SendOutcome> RelayBuffered(HttpExchange& aExchange,
                                  const Placement& aPlacement);
  Task<bool> RelayEvents(HttpExchange& aExchange, const Placement& aPlacement);
  /** Takes in what an answer says of its engine's limit. */
  void UpdateRateLimit(const InstanceId& aBackend,
                       const BackendResponseHead& aHead);
  void RecordResponseStart(const Placement& aPlacement);
  /** Counts the send as evidence about its back end's version. */
  void RecordEvidence(const InstanceId& aBackend, SendOutcome aOutcome);
  SendOutcome ClassifyError(const CallError& aError);
  Task<void> EndWithoutAnswer(SendOutcome aLast);
  Task<void> SendRejection(std::string aReason);
  Task<void> SendFailure(unsigned aStatus, std::string aReason);
  void LogSend(const Placement& aPlacement,
               SendOutcome aOutcome,
               const std::string& aWhy);
  void LogEnd(unsigned aStatus, const std::string& aReason);
  [[nodiscard]] Millis TimeLeft() const;
  [[nodiscard]] Millis AttemptTimeout() const;
  Placer& ServicePlacer();

  ServingState& state;
  ServingRequest request;
  HttpResponder& responder;
  std::shared_ptr<AbortHandle> abort = std::make_shared<AbortHandle>();
  EventSplitter splitter;
  std::set<InstanceId> triedBackends;
  std::optional<Placement> lastPlacement;
  BackendLoadGuard* loadGuard = nullptr;              // of the current send
  LimitDecision limitUse = LimitDecision::eUnlimited; // of the current send
  std::optional<Millis> rateLimitWait; // until a limit may have room
  unsigned sends = 0;
  unsigned possibleRuns = 0; // sends after which it may have run
  bool mayHaveRun = false;
  bool usageCounted = false;    // towards the team's usage
  bool responseStarted = false; // the current back end has begun its answer
  bool responseFailed = false;  // the current one says that it failed
  TimePoint responseStartedAt;  // the current back end's answer
  TimePoint sentAt;             // of the current send
  TimePoint firstEventAt;       // 0 before the first event
  TimePoint lastEventAt;        // 0 before the first event
  Millis deferredFor{ 0 };      // for requests that could begin on time
  Millis longestGap{ 0 };       // between two pieces that the caller got
  std::string lastFailure;      // why the last send failed
};

} // namespace toucanshed
