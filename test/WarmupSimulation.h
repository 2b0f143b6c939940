/** \file
 * Simulates, in logical time, daemons that send requests to engines which
 * start, restart and become cold.
 */
#pragma once

#include "base/Random.h"
#include "coord/BackendTable.h"
#include "coord/LimitShares.h"
#include "coord/PauseDetector.h"
#include "coord/WarmupLimits.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace toucanshed::test {

/** Loss and delay of messages between daemons. */
struct WarmupNetwork
{
  double lossRate = 0;
  Millis maxDelay{ 5 };
};

class WarmupSimulation
{
public:
  static constexpr unsigned kMaxPerSecond = 29;
  static constexpr Millis kWarmup{ 3000 };
  /** Interval in which engines renew their entries in the list. */
  static constexpr Millis kEntryInterval{ 1200 };

  /** \param aBounded false: daemons send without regard to the bound, to show
   *   that a scenario would break it */
  WarmupSimulation(std::size_t aDaemons,
                   std::size_t aEngines,
                   WarmupNetwork aNetwork,
                   bool aBounded = true);

  /** Simulates requests, each to a random daemon, which asks for a permit for
   * the engine to which it has sent the fewest requests, then for others.
   */
  void Run(Millis aDuration, double aRequestsPerS);
  /** The engines of aGroup are down for aDuration and come back cold, as new
   * incarnations. */
  void Restart(const std::set<std::size_t>& aGroup, Millis aDuration);
  /** New engines appear, all cold. */
  void AddEngines(std::size_t aCount);
  /** The engine is cold again without a restart; its entry states it at its
   * next renewal. */
  void Cool(std::size_t aEngine);
  /** The engines of aGroup get nothing until the drain ends, and are cold then.
   */
  void BeginDrain(const std::set<std::size_t>& aGroup);
  void EndDrain(const std::set<std::size_t>& aGroup);
  /** All daemons restart; each is back within aSpread. */
  void RestartDaemons(Millis aSpread);
  /** One daemon is suspended; its clock stands still and the messages to it are
   * delivered when it resumes. */
  void Suspend(std::size_t aDaemon, Millis aDuration);
  /** No messages pass between aGroup and the others. With aFromStore, aGroup
   * cannot read the list either. */
  void Partition(std::set<std::size_t> aGroup, bool aFromStore);
  void SetStoreDown(bool aDown) { this->storeDown = aDown; }

  /** Maximum over all cold engines and seconds of the requests received, as a
   * fraction of the bound. */
  [[nodiscard]] double MaxUsage() const { return this->maxUsage; }
  /** The same, of the requests to engines that became cold by Cool and whose
   * entry did not state it yet. */
  [[nodiscard]] double MaxUnreportedUsage() const
  {
    return this->maxUnreportedUsage;
  }
  /** Requests sent, and those that no engine could take, since the last call.
   */
  struct Counts
  {
    std::size_t sent = 0;
    std::size_t refused = 0;
  };
  Counts TakeCounts();

private:
  struct Engine
  {
    InstanceId id;
    std::int64_t incarnation = 1;
    TimePoint coldUntil;
    TimePoint downUntil;
    TimePoint renewsAt;
    /** What its entry in the list states. */
    std::int64_t listedIncarnation = 0;
    TimePoint listedColdUntil;
    TimePoint listedAt;
    TimePoint listChangedAt; // its entry's incarnation
    bool coldReported = true;
    bool drained = false;
    std::deque<TimePoint> coldArrivals;
  };
  struct Daemon
  {
    std::unique_ptr<LimitShares> shares;
    std::unique_ptr<WarmupLimits> limits;
    std::map<std::size_t, Backend> backends;
    std::map<std::size_t, TimePoint> readRecords;
    std::map<std::size_t, std::int64_t> incarnations;
    std::map<std::size_t, std::size_t> sentTo;
    PauseDetector pauses;
    Millis clockLag{ 0 }; // its steady clock behind the simulation's
    TimePoint resumesAt;
    TimePoint heartbeatAt;
    std::size_t heartbeatBatch = 0;
    std::optional<TimePoint> listAsOf; // by its own clock
    TimePoint nextReadAt;
  };
  /** What a daemon sends to another. */
  struct Message
  {
    enum class Kind
    {
      eHeartbeat,
      eListReport,
      ePermitRequest,
      ePermitReply,
    };
    Kind kind = Kind::eHeartbeat;
    std::size_t from = 0;
    std::size_t to = 0;
    /** Of a report of the list: the back ends to take to be cold, the engines
     * whose entries have changed recently, and the sum of all incarnations. */
    std::set<InstanceId> cold;
    std::vector<std::size_t> changed;
    std::int64_t digest = 0;
    std::uint64_t request = 0; // of a permit's request and reply
    std::size_t engine = 0;
    PermitDecision decision;
  };
  /** A request that waits for a permit. */
  struct Waiting
  {
    std::size_t daemon = 0;
    std::size_t engine = 0;
    TimePoint arrived;
    TimePoint askedAt; // by the simulation's clock
  };

  [[nodiscard]] static DaemonId IdOf(std::size_t aDaemon);
  void Start(std::size_t aDaemon, Millis aDelay);
  void Step();
  void RenewEntries();
  void ReadList(std::size_t aDaemon);
  void ApplyEntry(std::size_t aDaemon, std::size_t aEngine);
  [[nodiscard]] std::int64_t DigestOf(std::size_t aDaemon) const;
  void ReportList(std::size_t aDaemon);
  void SendHeartbeat(std::size_t aDaemon);
  void Send(std::size_t aFrom, std::size_t aTo, Message aMessage);
  void Deliver();
  void Resume(std::size_t aDaemon);
  /** Begins or continues a request at a daemon, to which it came at aArrived.
   */
  void IssueRequest(std::size_t aDaemon, TimePoint aArrived);
  /** The engine that is up and got the fewest requests of this daemon; after a
   * refusal any one that is up, as loads differ between engines. */
  std::optional<std::size_t> ChooseEngine(std::size_t aDaemon,
                                          bool aAfterRefusal);
  void DecidePermit(const Waiting& aWaiting, PermitDecision aDecision);
  void ExpirePermitRequests();
  void HandleMessage(const Message& aMessage);
  void RecordArrival(Engine& aEngine);
  [[nodiscard]] bool IsAwake(std::size_t aDaemon) const
  {
    return this->daemons[aDaemon].resumesAt <= this->now;
  }
  [[nodiscard]] bool CanRead(std::size_t aDaemon) const;
  [[nodiscard]] TimePoint ClockOf(std::size_t aDaemon) const
  {
    return this->now - this->daemons[aDaemon].clockLag;
  }

  WarmupNetwork network;
  bool bounded;
  TimePoint now{ 100000 };
  std::vector<Daemon> daemons;
  std::map<DaemonId, std::size_t> numberOfId;
  std::vector<Engine> engines;
  std::multimap<TimePoint, Message> messages;
  std::map<std::uint64_t, Waiting> waiting;
  std::uint64_t lastRequest = 0;
  /** Requests that try again, by when: the daemon and when they came to it. */
  std::multimap<TimePoint, std::pair<std::size_t, TimePoint>> retries;
  std::set<std::size_t> partitioned;
  bool partitionedFromStore = false;
  bool storeDown = false;
  double pendingLoad = 0;
  double maxUsage = 0;
  double maxUnreportedUsage = 0;
  Counts counts;
  Random random{ 17 };
};

} // namespace toucanshed::test
