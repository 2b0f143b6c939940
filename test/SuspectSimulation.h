/** \file
 * Simulates, in logical time, daemons whose engines crash when they begin to
 * write a response to a prompt with a certain section, and for other reasons.
 */
#pragma once

#include "SimulatedSteps.h"
#include "coord/CrashSuspects.h"
#include "coord/LimitShares.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace toucanshed::test {

/** What callers send. Each request has a section that all have, and one of its
 * own kind. */
struct SuspectLoad
{
  double soundPerS = 100;
  std::size_t soundSections = 200; // second sections of sound requests
  double crashingPerS = 1;
  std::size_t crashingSections = 1;
  /** The section that crashes engines is the first one, or the second. */
  bool crashesFirst = false;
  Millis crashAge{ 60 };          // of the response that crashes its engine
  Millis maxWriting{ 1500 };      // of a response
  bool repeatsOneRequest = false; // the crashing requests are all the same
};

class SuspectSimulation
{
public:
  SuspectSimulation(std::size_t aDaemons,
                    std::size_t aEngines,
                    SuspectLoad aLoad);

  void Run(Millis aDuration);
  /** The daemon starts again: it knows what the store has, if that is there. */
  void RestartDaemon(std::size_t aDaemon);
  /** No messages pass between the daemons below aFirst and the others; 0: all
   * pass. */
  void Partition(std::size_t aFirst) { this->loss.partitionedAt = aFirst; }
  /** The daemon does nothing for a time. */
  void Freeze(std::size_t aDaemon, Millis aDuration);
  /** Engines that crash each second for another reason, each at a moment of its
   * own. */
  void SetOrdinaryCrashes(double aPerS) { this->ordinaryPerS = aPerS; }
  /** A share of the engines crash at this moment. */
  void CrashAtOnce(double aShare);
  void SetStoreDown(bool aDown) { this->storeDown = aDown; }
  /** The store goes back to what it had when the simulation began. */
  void RestoreStore();
  void StopCrashingRequests() { this->load.crashingPerS = 0; }

  /** Engines that each section that crashes them has crashed. */
  [[nodiscard]] std::size_t MaxCrashes() const;
  /** Requests with such a section that daemons in touch sent to engines later
   * than kContact after its fifth crash. */
  [[nodiscard]] std::size_t SentTooLate() const;
  /** Sound sections that some daemon blocks now. */
  [[nodiscard]] std::size_t FalseVerdicts() const;
  /** Sound requests that daemons have refused, of all. */
  [[nodiscard]] std::size_t SoundRefused() const { return this->soundRefused; }
  [[nodiscard]] std::size_t SoundLost() const { return this->soundLost; }
  [[nodiscard]] std::size_t SoundSent() const { return this->soundSent; }

  static constexpr Millis kContact{ 3000 };

private:
  /** First of the ids of sections that crash engines; sound ones are below. */
  static constexpr std::uint64_t kCrashingIds = 1000000;

  struct Daemon
  {
    std::unique_ptr<LimitShares> shares;
    std::unique_ptr<CrashSuspects> suspects;
    std::uint64_t life = 0;
    TimePoint startedAt;
    TimePoint heartbeatAt;
    TimePoint frozenUntil;
    bool clearedPending = false;
    std::optional<StoreEra> readIn; // the store of this era
  };
  struct Running
  {
    std::size_t daemon = 0;
    std::uint64_t daemonLife = 0;
    std::vector<SuspectId> suspects;
    TimePoint sentAt;
    TimePoint startedAt; // of the response; 0: not begun
    bool sound = true;
  };
  struct Engine
  {
    std::uint64_t life = 1;
    TimePoint backAt;
    std::map<std::uint64_t, Running> running; // by request
  };
  struct SectionRecord
  {
    std::vector<TimePoint> crashes;
    std::size_t sentTooLate = 0;
  };

  void StartDaemon(std::size_t aDaemon);
  [[nodiscard]] bool IsFrozen(std::size_t aDaemon) const;
  void Send(std::size_t aFrom, std::size_t aTo, std::function<void(Daemon&)>);
  void SendToAll(std::size_t aFrom, const std::vector<SuspectReport>& aReports);
  void SendPending(std::size_t aDaemon);
  void SendHeartbeat(std::size_t aDaemon);
  void ReadStore(std::size_t aDaemon);
  void WriteStore(std::size_t aDaemon);
  void NewRequest(bool aSound);
  void TrySend(std::size_t aDaemon,
               std::uint64_t aLife,
               std::vector<SuspectId> aSuspects,
               bool aSound,
               TimePoint aDeadline);
  /** Asks for a trial and sends when it is granted. */
  void AskForTrial(std::size_t aDaemon,
                   std::uint64_t aLife,
                   SuspectId aSuspect,
                   std::vector<SuspectId> aSuspects,
                   bool aSound,
                   TimePoint aDeadline);
  void SendToEngine(std::size_t aDaemon,
                    const std::vector<SuspectId>& aSuspects,
                    bool aSound,
                    bool aLeastBusy);
  void BeginResponse(std::size_t aEngine,
                     std::uint64_t aLife,
                     std::uint64_t aRequest);
  /** The daemon records how far the response has come, now and as it passes
   * further stages. */
  void RecordWritten(std::size_t aEngine,
                     std::uint64_t aLife,
                     std::uint64_t aRequest,
                     bool aWhole);
  void EndResponse(std::size_t aEngine,
                   std::uint64_t aLife,
                   std::uint64_t aRequest);
  void CrashEngine(std::size_t aEngine);
  void RecordLate(const Daemon& aDaemon,
                  const std::vector<SuspectId>& aSuspects);
  [[nodiscard]] std::optional<std::size_t> ChooseEngine(bool aLeastBusy);
  void Refuse(bool aSound) { this->soundRefused += aSound ? 1 : 0; }

  SimulatedSteps steps{ TimePoint{ 1000000 }, 31 };
  MessageLoss loss;
  SuspectLoad load;
  std::vector<Daemon> daemons;
  std::vector<Engine> engines;
  std::map<SuspectId, SectionRecord> crashing; // the sections that crash
  std::map<SuspectId, SuspectReport> store;
  StoreEra storeEra{ 1 };
  bool storeDown = false;
  double pendingSound = 0;
  double pendingCrashing = 0;
  double pendingOrdinary = 0;
  double ordinaryPerS = 0;
  std::uint64_t requests = 0;
  std::size_t soundRefused = 0;
  std::size_t soundLost = 0;
  std::size_t soundSent = 0;
};

} // namespace toucanshed::test
