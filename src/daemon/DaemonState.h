/** \file
 * The tables that the daemon's workers share.
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
#include <set>

namespace toucanshed {

/** Facts heard and what is kept beside them, under one lock. */
struct FactTables
{
  FactSet facts;
  SuspectTable suspects;
  StreamMigrationQueue migrations;
  HandoverTable handovers;
};

/**
 * Locks are taken in the order of LockRank; the members stand in that order.
 *
 * Thread safety: every Guarded table by its lock; atomics and the parts that
 * say so by themselves; settings never change.
 */
struct DaemonState
{
  DaemonState(Settings aSettings, std::uint64_t aIncarnation);

  [[nodiscard]] TimePoint Now() const;
  /** A new id, unique over daemons and their lives. */
  std::string NewId(const char* aKind);
  /** States a fact here and sends it to peers. \return whether it is news. */
  bool PublishFact(const FactEntry& aFact);
  bool HasFact(const std::string& aFactKey);

  const Settings settings;
  const WriterId writer;
  EventLog events;
  Metrics metrics;
  WorkerPool pool;
  LogClient log;
  Notifier recordsApplied;  // a table folded something from the log
  Notifier appendRequested; // a record waits to be appended

  Guarded<ControlReader, LockRank::eControl> control;
  Guarded<ClaimCoordinator, LockRank::eClaims> claims;
  Guarded<WorkTable, LockRank::eWork> work;
  Guarded<Membership, LockRank::eMembers> membership;
  Guarded<EvidenceTable, LockRank::eEvidence> evidence;
  Guarded<FactTables, LockRank::eFactTables> factTables;
  SharedRouter router;
  Guarded<RetryBudget, LockRank::eRetryBudget> retryBudget;
  AdmissionController admission;

  /** Called without a lock when a fact was stated; set before the workers
   * start. */
  std::function<void()> gossipFacts = [] {};
  /** Sends to a peer without waiting; set before the workers start. */
  std::function<void(OutgoingEnvelope)> sendToPeer = [](OutgoingEnvelope) {};

  /** Grows whenever a back end turns out to be leaving, so that streams need
   * not look at the router for every token. */
  std::atomic<std::uint64_t> leavingChanges{ 0 };
  std::atomic<bool> stopping{ false };
  /** The time to finish is over: streams go to peers. */
  std::atomic<bool> handingOver{ false };
  std::atomic<bool> controlLoaded{ false };
  std::atomic<std::int64_t> logLastReadMs{ 0 };
  std::atomic<std::uint64_t> inFlight{ 0 };

private:
  std::atomic<std::uint64_t> lastId{ 0 };
};

/** Waits until something that the log must bring is there.
 * \param aDone looks for it, under whatever lock it takes itself.
 * \return false when the limit came first. */
Task<bool>
AwaitApplied(DaemonState& aState,
             Worker& aWorker,
             TimePoint aLimit,
             std::function<bool()> aDone);

/** Keys of facts. That a move is taken back bears the reason, which the daemon
 * that records the end may not have seen itself. */
std::string
RollbackFact(Position aMove, const std::string& aReason);
/** The reason, if the move is known here to be taken back. */
std::optional<std::string>
RollbackReason(DaemonState& aState, Position aMove);
std::string
LeavingFact(const std::string& aLife);

} // namespace toucanshed
