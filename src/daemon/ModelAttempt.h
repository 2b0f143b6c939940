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
  eStalled,     // taken over, timed out or cut, but the engine is alive
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
  bool timedOut = false; // the engine was silent until the caller's time ended
  bool silent = false;   // the router counts it as silent
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
  /** Places the request on another engine for its next attempt. Called now and
   * then while the engine is silent; the attempt ends if it returns true. */
  std::function<bool()> placeTakeover = [] { return false; };
};

/** Estimates the number of tokens of a text from its length, because engines
 * do not report it in advance. */
std::uint64_t
EstimateTokens(const std::string& aText);

/**
 * Continues after the tokens that the response has, and reads the engine's
 * stream into the response. A silent engine may still answer, so its silence
 * ends the attempt only when another engine takes the request over, or when the
 * caller's time is over: at the request's deadline, or that long after the
 * latest token. If the end is unclear, it finds out whether only
 * the connection was lost or the engine has crashed.
 *
 * Thread safety: none; belongs to its worker.
 */
class ModelAttempt
{
public:
  /** Time without a first token after which an engine counts as silent. */
  static constexpr Millis kFirstTokenSilence{ 4000 };
  /** The same within its stream. */
  static constexpr Millis kTokenGapSilence{ 1500 };

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
  /** Sends the request and reads its response. \return the stream, if it
   * began */
  Task<std::unique_ptr<EngineStream>> Generate();
  Task<AttemptStatus> ReadTokens(EngineStream& aStream);
  [[nodiscard]] CallTimeouts EngineTimeouts() const;
  /** Ends the attempt if it is to go on elsewhere while the engine is silent.
   * Runs until *aEnded, which is set before this is destroyed. */
  Task<void> WatchSilence(std::shared_ptr<const bool> aEnded);
  [[nodiscard]] bool ShouldHandOver() const;
  /** Whether the engine has been silent for long; counts it if so. */
  bool IsSilent();
  /** The engine has sent something. */
  void RecordSign();
  void Interrupt(AttemptStatus aStatus);
  AttemptStatus HandleDone(const EngineEvent& aEvent,
                           std::uint64_t aTokensBefore);
  Task<std::optional<AttemptStatus>> HandleToken(const EngineEvent& aEvent);
  /** Logs the error. \return the status if bytes were sent */
  AttemptStatus RecordError(const EngineError& aError);
  static AttemptStatus StatusOf(EngineErrorKind aKind);
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
  std::shared_ptr<AbortHandle> abort = std::make_shared<AbortHandle>();
  std::optional<AttemptStatus> interruption; // why it was aborted
  std::optional<TimePoint> awaitsSince;      // none while the caller is written
  TimePoint signRecordedAt;                  // at the router
  bool responseBegun = false;
};

} // namespace toucanshed
