/** \file
 * The state that the daemon's workers share.
 */
#pragma once

#include "AdmissionController.h"
#include "Settings.h"
#include "base/EventLog.h"
#include "base/Guarded.h"
#include "coord/ClaimCoordinator.h"
#include "coord/ControlReader.h"
#include "coord/Evidence.h"
#include "coord/FactSet.h"
#include "coord/HandoverTable.h"
#include "coord/Membership.h"
#include "coord/RetryBudget.h"
#include "coord/StreamMigrationQueue.h"
#include "coord/SuspectTable.h"
#include "coord/WorkTable.h"
#include "edge/LogClient.h"
#include "edge/Metrics.h"
#include "edge/Notifier.h"
#include "edge/WorkerPool.h"

#include <atomic>
#include <functional>
#include <set>

namespace toucanshed {

/** Facts from this daemon and its peers, and the tables that share their
 * lock. */
struct FactTables
{
  FactSet facts;
  SuspectTable suspects;
  StreamMigrationQueue migrations;
  HandoverTable handovers;
};

/**
 * Locks are acquired in the order of LockRank; the members are declared in that
 * order.
 *
 * Thread safety: every Guarded table is protected by its lock. Atomics, and
 * members whose type documents it, are thread-safe by themselves. The settings
 * are constant.
 */
struct DaemonState
{
  DaemonState(Settings aSettings, std::uint64_t aIncarnation);

  [[nodiscard]] TimePoint Now() const;
  /** Returns a new id, unique over all daemons and their incarnations. */
  std::string NewId(const char* aPrefix);
  /** Adds a fact to this daemon's set and sends it to peers.
   * \return whether the fact was not in the set before. */
  bool PublishFact(const FactEntry& aFact);
  bool HasFact(const std::string& aFactKey);
  /** The check before a request is written to a chosen back end. It must not
   * outlive this. */
  std::function<bool()> UsableCheck(std::string aIncarnationKey);

  const Settings settings;
  const WriterId writer;
  EventLog events;
  Metrics metrics;
  WorkerPool pool;
  LogClient log;
  Notifier recordsApplied;  // a table has applied records of the log
  Notifier appendRequested; // a record is queued to be appended

  Guarded<ControlReader, LockRank::eControl> control;
  Guarded<ClaimCoordinator, LockRank::eClaims> claims;
  Guarded<WorkTable, LockRank::eWork> work;
  Guarded<Membership, LockRank::eMembers> membership;
  Guarded<EvidenceTable, LockRank::eEvidence> evidence;
  Guarded<FactTables, LockRank::eFactTables> factTables;
  SharedRouter router;
  Guarded<RetryBudget, LockRank::eRetryBudget> retryBudget;
  AdmissionController admission;

  /** Called without a lock after a fact was published; set before the workers
   * start. */
  std::function<void()> gossipFacts = [] {};
  /** Sends a message to a peer without blocking; set before the workers
   * start. */
  std::function<void(OutgoingEnvelope)> sendToPeer = [](OutgoingEnvelope) {};

  /** Incremented when a back end is marked as leaving, so that streams need
   * not query the router for every token. */
  std::atomic<std::uint64_t> leavingChanges{ 0 };
  std::atomic<bool> stopping{ false };
  /** The drain timeout is over: streams are handed over to peers. */
  std::atomic<bool> handingOver{ false };
  std::atomic<bool> controlLoaded{ false };
  std::atomic<std::int64_t> logLastReadMs{ 0 };
  std::atomic<std::uint64_t> inFlight{ 0 };

private:
  std::atomic<std::uint64_t> lastId{ 0 };
};

/** Waits until a condition that depends on records of the log is met.
 * \param aIsDone checks the condition; it acquires the locks it uses itself.
 * \return false if the deadline passed first. */
Task<bool>
AwaitApplied(DaemonState& aState,
             Worker& aWorker,
             TimePoint aDeadline,
             std::function<bool()> aIsDone);

/** Key of the fact that a rollout is rolled back. It contains the reason,
 * because the daemon that records the end may not have found it itself. */
std::string
RollbackFact(Position aRollout, const std::string& aReason);
/** The reason, if this daemon has the fact that the rollout is rolled back. */
std::optional<std::string>
RollbackReason(DaemonState& aState, Position aRollout);
/** Key of the fact that an incarnation of an engine is leaving. */
std::string
LeavingFact(const std::string& aIncarnationKey);

} // namespace toucanshed
