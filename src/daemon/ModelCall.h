/** \file
 * Runs one model request, from admission to its complete response.
 */
#pragma once

#include "DaemonState.h"
#include "ModelAttempt.h"
#include "ModelRequest.h"
#include "RequestResult.h"
#include "coord/ResponseAssembler.h"

#include <optional>
#include <string>

namespace toucanshed {

/**
 * Tries engines until the response is complete. Each attempt continues after
 * the tokens received so far. The caller sees one uninterrupted stream: a
 * failure shows as a pause, never as a wrong, missing or duplicate token.
 *
 * \code
 * ModelCall call(state, worker, request, sink);
 * const RequestResult result = co_await call.Run();
 * \endcode
 *
 * Thread safety: none; belongs to its worker.
 */
class ModelCall
{
public:
  ModelCall(DaemonState& aState,
            Worker& aWorker,
            ModelRequest aRequest,
            TokenSink aSink);

  Task<RequestResult> Run();
  /** Continues after tokens that another daemon has received. Precondition:
   * called before Run. */
  void ResumeFrom(const std::vector<std::string>& aTokens);
  /** Allows the stream to be handed over to peers when this daemon stops. Only
   * for callers that can resume, because their stream is interrupted. */
  void AllowHandover() { this->mayHandOver = true; }

  [[nodiscard]] const ResponseAssembler& Response() const
  {
    return this->response;
  }

private:
  /** The engine that runs the next attempt. */
  struct ExecutionTarget
  {
    EngineChoice choice;
    int priority = 0;
    std::optional<EngineSlot> slot; // none if the request runs isolated
  };
  using TargetOrFailure = tl::expected<ExecutionTarget, RequestResult>;

  Task<RequestResult> RunAttempts();
  Task<TargetOrFailure> FindTarget();
  /** The engine that takes over from a silent one, or FindTarget's. */
  Task<TargetOrFailure> NextTarget();
  /** Sends the request to the engine once. */
  Task<AttemptResult> RunAttempt(const ExecutionTarget& aTarget);
  /** Takes a place on an engine that was not tried yet, and a retry, for the
   * request of a silent engine. \return false if the silent engine must be
   * waited for */
  bool PlaceTakeover(const ExecutionTarget& aSilent);
  /** Whether the suspicion against this request allows it to go on elsewhere
   * as soon as its present run has ended. */
  [[nodiscard]] bool MayMoveOn() const;
  void ReturnTakeover();
  Task<TargetOrFailure> FindIsolatedTarget();
  /** Whether no other suspect request precedes this one on the engine. */
  [[nodiscard]] bool HasIsolationPriorityOn(
    const std::string& aIncarnationKey) const;
  /** Picks an engine if it still has this incarnation and runs nothing. */
  Task<std::optional<EngineChoice>> TakeIdleEngine(std::string aIncarnationKey);
  void ResetTriedIfExhausted(const VersionId& aVersion);
  VersionId SelectVersion();
  RouteRequest MakeRouteRequest(VersionId aVersion) const;
  void RecordAttempt(const EngineChoice& aChoice, const AttemptResult& aResult);
  void RecordCrash(const EngineChoice& aChoice);
  bool CanRetry(AttemptStatus aStatus);
  [[nodiscard]] QueueItem MakeQueueItem() const;
  RequestResult MakeFailure(const std::string& aReason,
                            std::uint64_t aRetryAfter) const;
  [[nodiscard]] SuspectLevel CurrentSuspectLevel() const;
  /** Waits until no other suspect request with this fingerprint runs at this
   * daemon.
   * \return false if the deadline passed first. */
  Task<bool> AcquireSerialSlot();
  void ReleaseSerialSlot();

  DaemonState& state;
  Worker& worker;
  ModelRequest request;
  TokenSink sink;
  ResponseAssembler response;
  std::set<std::string> triedEngines;
  std::optional<VersionId> pinnedVersion; // set after a canary failed
  bool sent = false; // bytes of the request have reached an engine
  bool mayHandOver = false;
  bool holdsSerialSlot = false;
  std::optional<MigrationSource> migrationSource;
  std::optional<ExecutionTarget> takeover; // paid for, not sent yet
  std::size_t attempts = 0;
};

/** A sink for callers that get the complete response at its end. */
Task<bool>
AcceptToken(const std::string& aToken);

} // namespace toucanshed
