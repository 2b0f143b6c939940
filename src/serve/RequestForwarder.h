/** \file
 * Processes one admitted request: chooses back ends, sends, relays the
 * response, and decides what the caller gets when that fails.
 */
#pragma once

#include "QueuePlace.h"
#include "RepeatRefusal.h"
#include "ServingRequest.h"
#include "coord/AdmissionPolicy.h"
#include "coord/BackendTable.h"
#include "coord/DeferralPolicy.h"
#include "coord/EngineReach.h"
#include "coord/EventSplitter.h"
#include "coord/Evidence.h"
#include "coord/Placement.h"
#include "coord/RelayChoice.h"
#include "coord/RetryInFlight.h"
#include "coord/SendGate.h"
#include "coord/ServicePriorities.h"
#include "edge/HttpExchange.h"
#include "edge/HttpResponder.h"

#include <set>

namespace toucanshed {

class BackendLoadGuard;
class ResponseBuffer;
struct BackendResponseHead;
struct CrashCheck;
struct EngineTraits;
struct NamedLimit;
struct QueueOutlook;
struct ServingState;

/** How one send to a back end ended. */
enum class SendOutcome
{
  eResponded,  // the caller has the whole response
  eNotRun,     // it did not run there: the back end says so, or never got it
  eMayHaveRun, // no complete response; it may have run
  eDeadlineExceeded,   // the request's deadline has passed
  eCallerDisconnected, // the caller has disconnected
};

/**
 * One flag determines the final response: whether a back end may have run the
 * request. While it is unset, a failure is reported as "not run, retry later";
 * once it is set, never.
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
  ~RequestForwarder();
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  /** Precondition: called once. */
  Task<void> Run();

private:
  /** The time left must allow a back end to begin its response; a send with
   * less would only use the back end's time. */
  static constexpr Millis kMinTimeLeft{ 20 };

  /** What one pass of Run has done. */
  enum class Step
  {
    eAgain,  // waited, or a permit was refused
    eSent,   // sent; lastOutcome has how it ended
    eGiveUp, // there is nowhere to send it
  };

  /** Whether the process ends and the request must get its answer now. */
  [[nodiscard]] bool IsEnding() const;
  /** Sends to a back end if one may get the request now. */
  Task<Step> TryBackend();
  /** Sends through another daemon. */
  Task<Step> TryPeer(RelayCandidate aPeer);
  /** Chooses the daemon to send through; nothing while this one reaches
   * engines itself and may send to them, for relayed requests, and when no
   * other does. */
  std::optional<RelayCandidate> ChoosePeer();
  /** Whether this daemon's parts of the back ends' limits are used up, so that
   * the request goes through one whose parts may be idle. */
  [[nodiscard]] bool IsBeyondOwnParts() const;
  /** Keeps the daemons that hold a part of a back end's limit, if any does. */
  void KeepPartHolders(std::vector<RelayCandidate>& aCandidates) const;
  /** Whether the request may pass through a daemon of the failure domain. */
  [[nodiscard]] bool MayRelayThrough(const ZoneId& aZone) const;
  Task<SendOutcome> SendToPeer(RelayCandidate aPeer);
  Task<SendOutcome> RelayFromPeer(HttpExchange& aExchange, DaemonId aPeer);
  /** Chooses the back end to send to next; nothing when there is none.
   * \param aIsEligible restricts the choice; empty: not */
  std::optional<Placement> ChooseBackend(
    const std::function<bool(const Backend&)>& aIsEligible = {});
  /** Whether this send waits in the service's queue when engines have no room.
   */
  [[nodiscard]] bool UsesQueue() const;
  [[nodiscard]] const ServicePriorities& Priorities();
  /** Chooses a back end with room for the request, if there is one; sets
   * admission to whether the chosen one has room. Nothing when there is no back
   * end at all. */
  std::optional<Placement> ChooseWithRoom(StartTurn aTurn);
  [[nodiscard]] AdmissionDecision DecideAdmission(const Placement& aPlacement,
                                                  StartTurn aTurn);
  [[nodiscard]] EngineLoad LoadOf(const Backend& aBackend);
  /** Whether a waiting request may start; selects its placement. */
  bool CanStart(StartTurn aTurn);
  /** Waits in the queue for the engine that it would have been sent to. */
  Task<Step> EnterQueue(Placement aPlacement);
  Task<Step> WaitInQueue();
  /** For the caller's retry; nothing when the service has no queue. */
  [[nodiscard]] std::optional<QueueOutlook> Outlook();
  Step RejectQueued(const char* aCause);
  void LeaveQueue();
  /** Logs that the request waits or is rejected, with what decided it. */
  void LogQueueDecision(const char* aEvent, const char* aCause);
  /** Whether the allowed regions of the route and the team let this request go
   * to the failure domain. */
  [[nodiscard]] bool IsRegionAllowed(const ZoneId& aZone) const;
  [[nodiscard]] DeferralInput MakeDeferralInput(const Placement& aPlacement);
  [[nodiscard]] DeferralDecision DecideDeferral(const Placement& aPlacement);
  /** How much longer this request looks for a back end with room, from the
   * first time that it met none. */
  [[nodiscard]] Millis PermitTimeLeft();
  /** Gets the permit for a send to the back end, if it needs one. */
  Task<bool> AcquirePermit(InstanceId aBackend);
  /** Why it may not be sent once more, whatever the retry allowance has. */
  [[nodiscard]] std::optional<RepeatRefusal> ForbidsRepeat() const;
  /** Whether it may be sent now, or once more, if the retry allowance has room.
   */
  [[nodiscard]] bool IsRepeatable() const
  {
    return this->sends == 0 || !this->ForbidsRepeat();
  }
  [[nodiscard]] bool TakeSendAttempt();
  /** Why the request ends with its last send's failure, for the log; empty
   * when nothing was sent or the last send brought the response. */
  [[nodiscard]] std::string NotRepeated() const;
  /** Returns the credit of a retry of which no byte was sent. */
  void ReturnUnsentRetry();
  /** Resets what belongs to one send. */
  void BeginSend(const Placement& aPlacement);
  void RecordPossibleRun(SendOutcome aOutcome);
  /** Counts a failed send against its back end, if it is that one's fault. */
  Task<void> RecordFailedSend(InstanceId aBackend, SendOutcome aOutcome);
  Task<SendOutcome> SendToBackend(Placement aPlacement);
  [[nodiscard]] SendTime CurrentTime() const;
  /** Whether the request would crash its back end. */
  [[nodiscard]] bool IsBlocked() const;
  /** Gets the trial that a request needs which might crash its back end. */
  Task<bool> AcquireTrial();
  /** Whether a crash of the current response's back end is a late one. */
  [[nodiscard]] bool IsWritten() const;
  /** Records how far the current response has come, once for each stage.
   * \param aWhole it has ended, and nothing is missing */
  void RecordWritten(bool aWhole);
  /** Whether the request may be sent again though its back end may have
   * crashed. */
  [[nodiscard]] bool MayRepeatAfterCrash() const;
  [[nodiscard]] CrashCheck MakeCrashCheck(const InstanceId& aBackend) const;
  /** Finds out whether the back end of a broken response has crashed. */
  Task<void> CheckForCrash(InstanceId aBackend);
  /** Whether the response ended because its back end crashed. Only one that
   * ends with its connection can look complete then. */
  Task<bool> EndedByCrash(const HttpExchange& aExchange, InstanceId aBackend);
  /** Whether somebody still waits for the response, with time left. */
  [[nodiscard]] bool IsCallerWaiting();
  /** Asks the gate whether the request may be written, once there is a
   * connection to the back end. */
  [[nodiscard]] bool ConfirmSend();
  /** Counts a send while a rollout of the service is active. */
  void RecordExposure();
  Task<SendOutcome> Relay(HttpExchange& aExchange, const Placement& aPlacement);
  Task<SendOutcome> RelayBody(HttpExchange& aExchange,
                              const BackendResponseHead& aHead,
                              const Placement& aPlacement);
  Task<SendOutcome> RelayStream(HttpExchange& aExchange,
                                const Placement& aPlacement);
  /** \param aIsFalsePromise the caller would take the status for a promise that
   *   the request did not run, which nobody gave; it gets another one */
  Task<SendOutcome> RelayBuffered(HttpExchange& aExchange,
                                  const Placement& aPlacement,
                                  bool aIsFalsePromise);
  Task<bool> RelayEvents(HttpExchange& aExchange, const Placement& aPlacement);
  /** The current send's back end has sent data. */
  void RecordData(TimePoint aNow);
  /** Waits until the process may hold so much of a response.
   * \return false if the caller leaves, or its time ends, before that */
  Task<bool> AwaitRoom(ResponseBuffer& aBuffer, std::size_t aCapacity);
  /** Appends a piece to a response's body, within what the process may hold.
   * \return whether there is room for it */
  Task<bool> AppendToBody(const HttpExchange& aExchange,
                          ResponseBuffer& aBuffer,
                          const std::string& aPiece,
                          std::string& aBody);
  /** The back end has done its part, and may get another request. */
  void ReleaseBackend();
  /** Applies what a response says about its engine. */
  void ApplyEngineNotices(const BackendResponseHead& aHead);
  void MarkLeaving();
  void RecordRest(Millis aRest);
  void UpdateLimits(const BackendResponseHead& aHead);
  /** Applies one limit that the response names, or that it names none.
   * \param aEvent the event to log when it changes */
  void UpdateLimit(EngineLimits& aLimits,
                   const NamedLimit& aNamed,
                   const char* aEvent);
  void RecordResponseStart(const Placement& aPlacement);
  /** Records how long a response that has ended took in its slot. */
  void RecordSlotTime(const Placement& aPlacement);
  /** Adds what placement needs to know of the request, the load reports and the
   * pools. */
  void AddCapacityInputs(PlacementRequest& aRequest,
                         const EngineTraits* aTraits,
                         TimePoint aNow);
  /** The properties of the service's engines; null when not configured. */
  [[nodiscard]] const EngineTraits* Traits() const;
  /** Whether no engine of the service can hold the prompt. */
  [[nodiscard]] bool ExceedsEngineMemory() const;
  [[nodiscard]] bool HasLongPrompt();
  [[nodiscard]] std::uint64_t ExpectedOutput();
  /** Tokens that the request holds in an engine's memory. */
  [[nodiscard]] std::uint64_t HeldTokens();
  void RecordSentWork();
  /** Records a rejection for lack of room. */
  void RecordSlotRejection(const BackendResponseHead& aHead);
  /** Records when the response began, as evidence of its engine's speed. */
  void RecordSpeed(const Placement& aPlacement, TimePoint aNow);
  /** Records the length and the pace of a complete stream. */
  void RecordOutput(const Placement& aPlacement);
  /** Records the send as evidence about its back end's version. */
  void RecordEvidence(const InstanceId& aBackend, SendOutcome aOutcome);
  /** Counts the current send as one that runs, if its version is new or is
   * compared with a new one. */
  void StartEvidence(const InstanceId& aBackend);
  /** The current response has begun. */
  void RecordFirstTokenEvidence(const InstanceId& aBackend, TimePoint aNow);
  /** The current send has ended. */
  void StopEvidence(SendOutcome aOutcome);
  SendOutcome ClassifyError(const CallError& aError);
  Task<void> EndWithoutResponse(SendOutcome aLast);
  Task<void> SendRejection(std::string aReason);
  Task<void> SendFailure(unsigned aStatus, std::string aReason);
  void LogSend(const Placement& aPlacement,
               SendOutcome aOutcome,
               const std::string& aReason);
  void LogEnd(unsigned aStatus, const std::string& aReason);
  /** Time since the current send's last sign of its back end. */
  [[nodiscard]] Millis SilentTime(TimePoint aNow) const;
  [[nodiscard]] Millis TimeLeft() const;
  /** Time without a response after which its back end counts as silent. */
  [[nodiscard]] Millis ResponseSilence() const;
  /** Timeouts of a send. Only a peer that is not there ends one before the
   * request's time is over: a silent one may still answer. */
  [[nodiscard]] CallTimeouts SendTimeouts() const;
  Placer& ServicePlacer();

  ServingState& state;
  ServingRequest request;
  HttpResponder& responder;
  std::shared_ptr<AbortHandle> abort = std::make_shared<AbortHandle>();
  EventSplitter splitter;
  std::set<InstanceId> triedBackends;
  std::set<DaemonId> triedPeers;
  bool beyondOwnParts = false;
  DaemonId peer; // through which the current send goes; empty: none
  std::optional<Placement> lastPlacement;
  std::optional<ServicePriorities> priorities; // see Priorities
  std::optional<QueuePlace> queuePlace;        // until its send has begun
  std::optional<Placement> selectedPlacement;  // by CanStart
  AdmissionDecision admission = AdmissionDecision::eStart; // latest decision
  EngineLoad admissionLoad;  // of the engine that it was about
  bool backendsGone = false; // found while it was in the queue
  bool queueLogged = false;
  TimePoint queuedAt; // when it joined the queue
  IsAllowedByOrders isAllowed;
  BackendLoadGuard* loadGuard = nullptr;      // of the current send
  SendTicket ticket;                          // of the current send
  std::optional<RetryInFlight> retryInFlight; // the current send, if paid
  std::optional<SuspectTrial> trial;          // until a send may have run
  std::optional<Millis> wait; // until a back end may accept it; from the gate
  std::optional<GateRefusal> waitReason;
  bool allRefused = false;              // the gate has refused all back ends
  std::optional<TimePoint> permitUntil; // of the current send, by BootTime
  std::optional<TimePoint> permitDeadline;
  SendOutcome lastOutcome = SendOutcome::eNotRun;
  TimePoint callerCheckedAt; // the connection was open then
  unsigned sends = 0;
  unsigned failedConnections = 0;
  unsigned possibleRuns = 0; // sends after which it may have run
  bool mayHaveRun = false;
  bool allowanceUsedUp = false; // when it was to be sent once more
  bool lastSendFailed = false;  // and the request ends with that
  bool usageCounted = false;    // towards the team's usage
  bool responseStarted = false; // the current back end has begun its response
  bool transportFailed = false; // the current send ended without a response
  bool timedOut = false;        // by a timeout
  FailureCause failureCause = FailureCause::eEngine; // of the current send
  bool mayHaveCrashed = false; // a back end, and might crash the next one
  bool crashKnown = false;     // of the current send's back end
  bool resumes = false; // the current send asks for the rest of a response
  std::size_t stagesRecorded = 0; // of the current response
  bool responseFailed = false;    // the current response reports a failure
  bool responseWhole = false;     // so its back end did not crash
  bool engineLeaving = false;     // by the current response
  Millis engineRest{ 0 };         // that the current response asks for
  TimePoint responseStartedAt;    // start of the current response
  TimePoint sentAt;               // of the current send
  std::optional<ObservedRequest> observed; // of the current send
  TimePoint firstEventAt;                  // 0 before the first event
  TimePoint lastEventAt;                   // 0 before the first event
  TimePoint progressAt;    // latest event of the current response; 0: none
  Millis deferredFor{ 0 }; // for other requests that could still start on time
  Millis longestGap{ 0 };  // between two pieces of the stream to the caller
  std::string lastFailure; // why the last send failed
  /** Events of the stream up to the first ones of the current response. */
  std::uint64_t eventsAtStart = 0;
};

} // namespace toucanshed
