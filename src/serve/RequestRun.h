/** \file
 * Takes one admitted request to its end: chooses back ends, sends, relays the
 * answer, and decides what the caller is told when that fails.
 */
#pragma once

#include "ServingRequest.h"
#include "coord/BackendTable.h"
#include "coord/EngineLimits.h"
#include "coord/EventSplitter.h"
#include "coord/LateWork.h"
#include "coord/Placement.h"
#include "edge/HttpExchange.h"
#include "edge/HttpResponder.h"

#include <set>

namespace toucanshed {

class BackendUse;
struct BackendHead;
struct ServingState;

/** How one send to a back end ended. */
enum class SendOutcome
{
  eAnswered,   // the caller has the whole answer
  eNotRun,     // it did not run there: the back end says so, or never got it
  eMayHaveRun, // no whole answer; it may have run
  eLate,       // the request's time was over
  eCallerGone, // the caller has hung up
};

/**
 * What may be said at the end follows from one flag: whether a back end may
 * have run the request. While it is unset a failure is told as "not run, come
 * back"; once set it never is.
 *
 * Thread safety: none; belongs to the worker of the caller's connection.
 */
class RequestRun
{
public:
  /** Both references must outlive Run. */
  RequestRun(ServingState& aState,
             ServingRequest aRequest,
             HttpResponder& aResponder);

  /** Precondition: called once. */
  Task<void> Run();

private:
  /** The back end to send to next; nothing when there is none. */
  std::optional<Placement> Choose();
  /** Leaves out back ends whose limits have no room, notes when they will, and
   * which ones have room. */
  void LeaveOutLimited(std::vector<Backend*>& aBackends,
                       std::set<InstanceId>& aHaveRoom,
                       TimePoint aNow);
  [[nodiscard]] SendAdvice Advise(const Placement& aPlacement);
  [[nodiscard]] bool MaySendAgain();
  Task<SendOutcome> Send(Placement aPlacement);
  /** Whether a back end that was chosen may still be sent to, once there is a
   * connection to it. Takes the send from its limit if it has named one
   * meanwhile. */
  [[nodiscard]] bool ConfirmSend(const InstanceId& aBackend);
  Task<SendOutcome> Relay(HttpExchange& aExchange, const Placement& aPlacement);
  Task<SendOutcome> RelayStream(HttpExchange& aExchange,
                                const Placement& aPlacement);
  Task<SendOutcome> RelayWhole(HttpExchange& aExchange,
                               const Placement& aPlacement);
  Task<bool> PassEvents(HttpExchange& aExchange, const Placement& aPlacement);
  /** Takes in what an answer says of its engine's limit. */
  void NoteLimit(const InstanceId& aBackend, const BackendHead& aHead);
  void NoteBegun(const Placement& aPlacement);
  /** Counts the send as evidence about its back end's version. */
  void Observe(const InstanceId& aBackend, SendOutcome aOutcome);
  SendOutcome Classify(const CallError& aError);
  Task<void> EndWithoutAnswer(SendOutcome aLast);
  Task<void> Refuse(std::string aReason);
  Task<void> Fail(unsigned aStatus, std::string aReason);
  void LogSend(const Placement& aPlacement,
               SendOutcome aOutcome,
               const std::string& aWhy);
  void LogEnd(unsigned aStatus, const std::string& aReason);
  [[nodiscard]] Millis Left() const;
  [[nodiscard]] Millis Patience() const;
  Placer& PlacerOf();

  ServingState& state;
  ServingRequest request;
  HttpResponder& responder;
  std::shared_ptr<CallAbort> abort = std::make_shared<CallAbort>();
  EventSplitter splitter;
  std::set<InstanceId> passedOver;
  std::optional<Placement> lastPlacement;
  BackendUse* use = nullptr;           // of the current send
  LimitUse limitUse = LimitUse::eFree; // of the current send
  std::optional<Millis> limitWait;     // until a limit may have room
  unsigned sends = 0;
  unsigned runs = 0; // sends after which it may have run
  bool mayHaveRun = false;
  bool counted = false;      // towards the team's usage
  bool beganHere = false;    // the current back end has begun its answer
  bool failedAnswer = false; // the current one says that it failed
  TimePoint beganAt;         // the current back end's answer
  TimePoint sentAt;          // of the current send
  TimePoint firstEventAt;    // 0 before the first event
  TimePoint lastEventAt;     // 0 before the first event
  Millis stoodBack{ 0 };     // for requests that could begin on time
  Millis longestGap{ 0 };    // between two pieces that the caller got
  std::string lastWhy;       // why the last send failed
};

} // namespace toucanshed
