/** \file
 * Carries one model request from admission to its whole answer.
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
 * Tries engines until the answer is whole, always going on from the tokens
 * that are there. The caller sees one unbroken stream: failures show as a
 * pause, never as a wrong, missing or doubled token.
 *
 * \code
 * ModelCall call(state, worker, request, sink);
 * const CallEnd end = co_await call.Run();
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
  /** Goes on from tokens that another daemon had. Precondition: before Run. */
  void ResumeFrom(const std::vector<std::string>& aTokens);
  /** Allows the stream to be handed to peers when this daemon must stop, as
   * only a caller that can resume may be left in the middle. */
  void AllowHandover() { this->mayHandOver = true; }

  [[nodiscard]] const ResponseAssembler& Response() const
  {
    return this->response;
  }

private:
  /** Where the request may go next, or why it may not. */
  struct ExecutionTarget
  {
    EngineChoice choice;
    int priority = 0;
    std::optional<EngineSlot> slot; // a lone run takes no place at the gate
  };
  using TargetOrFailure = tl::expected<ExecutionTarget, RequestResult>;

  Task<RequestResult> RunAttempts();
  Task<TargetOrFailure> FindTarget();
  Task<TargetOrFailure> FindIsolatedTarget();
  /** Whether no other suspect is before this one on the engine. */
  [[nodiscard]] bool HasIsolationPriorityOn(const std::string& aLife) const;
  /** Takes a place on an engine that is this very life and runs nothing. */
  Task<std::optional<EngineChoice>> TakeIdleEngine(std::string aLife);
  void ResetTriedIfExhausted(const VersionId& aVersion);
  VersionId SelectVersion();
  RouteRequest MakeRouteRequest(VersionId aVersion) const;
  void RecordAttempt(const EngineChoice& aChoice, const AttemptResult& aResult);
  void RecordCrash(const EngineChoice& aChoice);
  bool CanRetry(AttemptStatus aEnd);
  RequestResult MakeFailure(const std::string& aReason,
                            std::uint64_t aRetryAfter) const;
  [[nodiscard]] SuspectLevel CurrentSuspectLevel() const;
  /** Only one watched request of a fingerprint runs here at a time. */
  Task<bool> AcquireSerialSlot();
  void ReleaseSerialSlot();

  DaemonState& state;
  Worker& worker;
  ModelRequest request;
  TokenSink sink;
  ResponseAssembler response;
  std::set<std::string> triedEngines;
  std::optional<VersionId> pinnedVersion; // after a canary has failed
  bool sent = false;                      // bytes have reached an engine
  bool mayHandOver = false;
  bool holdsSerialSlot = false;
  std::optional<MigrationSource> migrationSource;
  std::size_t attempts = 0;
};

/** A sink for callers that want the whole answer at its end. */
Task<bool>
AcceptToken(const std::string& aToken);

} // namespace toucanshed
