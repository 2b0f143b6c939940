/** \file
 * One attempt to run a model request on one engine.
 */
#pragma once

#include "DaemonState.h"
#include "ModelRequest.h"
#include "coord/ResponseAssembler.h"
#include "edge/EngineClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucanshed {

/** Called with each new token; returns false if the caller has
 * disconnected. */
using TokenSink = std::function<Task<bool>(const std::string&)>;

/** How one attempt on one engine ended. */
enum class AttemptStatus
{
  eComplete,
  eCallerDisconnected,
  eRejected,
  eUnreachable,
  eFailed,
  eStalled,     // timed out or cut, but the engine is alive
  eMigrating,   // the engine is being reclaimed
  eHandingOver, // this daemon is stopping
  eCrashed,
};

/** The value of the metric label: "whole", "caller_gone" and so on. */
std::string
ToText(AttemptStatus aStatus);

/** Status and times of an attempt. Times are in milliseconds; below zero if
 * there is no value. */
struct AttemptResult
{
  AttemptStatus status = AttemptStatus::eFailed;
  bool sent = false; // bytes of the request have reached the engine
  double firstTokenMs = -1;
  double meanTokenGapMs = -1;
  double totalMs = 0;
};

/** The attempt that a migrating stream comes from. Its connection is kept open
 * until the state is transferred; the engine drops the state when the
 * connection closes. */
struct MigrationSource
{
  EngineChoice choice;
  AttemptId attempt;
  std::unique_ptr<EngineStream> stream;
};

/** The request of an attempt and the engine that runs it. */
struct AttemptPlan
{
  ModelRequest request;
  EngineChoice choice;
  int priority = 0;
  bool mayHandOver = false; // to a peer, when this daemon is stopping
};

/** Estimates the number of tokens of a text from its length, because engines
 * do not report it in advance. */
std::uint64_t
EstimateTokens(const std::string& aText);

/**
 * Continues after the tokens that the response has, and reads the engine's
 * stream into the response. If the end is unclear, it finds out whether only
 * the connection was lost or the engine has crashed.
 *
 * Thread safety: none; belongs to its worker.
 */
class ModelAttempt
{
public:
  /** Precondition: the response and the sink outlive the attempt. */
  ModelAttempt(DaemonState& aState,
               Worker& aWorker,
               AttemptPlan aPlan,
               ResponseAssembler& aResponse,
               TokenSink& aSink);

  /** Runs the attempt once.
   * \param aSource the source of a migrating stream. Its state is transferred
   *   first, and it is reset then. It is set if the attempt ends as
   *   eMigrating. */
  Task<AttemptResult> Run(std::optional<MigrationSource>& aSource);

private:
  /** Transfers a migrating stream's state to this engine. */
  Task<void> TransferState(std::optional<MigrationSource>& aSource);
  Task<AttemptStatus> ReadTokens(EngineStream& aStream);
  AttemptStatus HandleDone(const EngineEvent& aEvent,
                           std::uint64_t aTokensBefore);
  Task<std::optional<AttemptStatus>> HandleToken(const EngineEvent& aEvent);
  AttemptStatus StatusOf(const EngineError& aError);
  Task<bool> IsEngineAlive();
  /** Whether the engine is leaving and this stream may migrate now. */
  bool MayMigrate();
  void LeaveMigrationQueue(const std::string& aIncarnationKey);
  [[nodiscard]] double ElapsedMs() const;

  DaemonState& state;
  Worker& worker;
  AttemptPlan plan;
  ResponseAssembler& response;
  TokenSink& sink;
  AttemptId id;
  AttemptResult result;
  std::chrono::steady_clock::time_point start;
  double lastTokenMs = 0;
  std::uint64_t seenLeavingChanges = 0;
  bool engineLeaving = false;
};

} // namespace toucanshed
