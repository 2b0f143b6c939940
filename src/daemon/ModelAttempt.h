/** \file
 * One attempt to answer a model request on one engine.
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

/** Takes each new token; false when the caller has gone. */
using TokenSink = std::function<Task<bool>(const std::string&)>;

/** How one attempt on one engine ended. */
enum class AttemptStatus
{
  eComplete,
  eCallerDisconnected,
  eRejected,
  eUnreachable,
  eFailed,
  eStalled,     // silent, or cut while the engine lives on
  eMigrating,   // left an engine that is being reclaimed
  eHandingOver, // this daemon must stop
  eCrashed,
};

/** As in metrics: "whole", "caller_gone" and so on. */
std::string
ToText(AttemptStatus aEnd);

/** What an attempt showed. Times in milliseconds, below zero if there are
 * none. */
struct AttemptResult
{
  AttemptStatus status = AttemptStatus::eFailed;
  bool sent = false; // bytes of the request have reached the engine
  double firstTokenMs = -1;
  double meanTokenGapMs = -1;
  double totalMs = 0;
};

/** The attempt that a stream on the move comes from. Its connection is kept
 * open until the state has been taken along, or the engine would drop it. */
struct MigrationSource
{
  EngineChoice choice;
  AttemptId attempt;
  std::unique_ptr<EngineStream> stream;
};

/** What is to be run where. */
struct AttemptPlan
{
  ModelRequest request;
  EngineChoice choice;
  int priority = 0;
  bool mayHandOver = false; // to a peer, when this daemon must stop
};

/** Tokens a text has, by a rule of thumb; engines do not tell beforehand. */
std::uint64_t
EstimateTokens(const std::string& aText);

/**
 * Goes on from the tokens that the answer has, reads the engine's stream into
 * it, and finds out what an unclear end was: a connection lost track of, or an
 * engine that is gone.
 *
 * Thread safety: none; belongs to its worker.
 */
class ModelAttempt
{
public:
  /** The answer and the sink outlive the attempt. */
  ModelAttempt(DaemonState& aState,
               Worker& aWorker,
               AttemptPlan aPlan,
               ResponseAssembler& aAnswer,
               TokenSink& aSink);

  /** Runs the attempt once.
   * \param aOrigin where the stream comes from if it is on the move; set when
   *   the attempt ends as eMoving, and taken otherwise. */
  Task<AttemptResult> Run(std::optional<MigrationSource>& aOrigin);

private:
  /** Brings a moving stream's state to this engine. */
  Task<void> TransferState(std::optional<MigrationSource>& aOrigin);
  Task<AttemptStatus> ReadTokens(EngineStream& aStream);
  AttemptStatus HandleDone(const EngineEvent& aEvent, std::uint64_t aBefore);
  Task<std::optional<AttemptStatus>> HandleToken(const EngineEvent& aEvent);
  AttemptStatus StatusOf(const EngineError& aError);
  Task<bool> IsEngineAlive();
  /** Whether the engine is leaving and this stream's turn to go has come. */
  bool MayMigrate();
  void LeaveMigrationQueue(const std::string& aLife);
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
  bool engineLeaving = false; // the engine is leaving
};

} // namespace toucanshed
