/** \file
 * Simulates, in logical time, daemons that hold the duties in turn and report
 * usage, while the store comes back from older copies.
 */
#pragma once

#include "base/Random.h"
#include "coord/DutyLog.h"
#include "coord/ReportedUsage.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace toucanshed::test {

class DutySimulation
{
public:
  explicit DutySimulation(std::size_t aDaemons);

  void Run(Millis aDuration);
  /** Keeps a copy of the records. */
  void TakeCopy()
  {
    this->copy = this->records;
    this->eraRecordCopy = this->eraRecord;
  }
  /** Goes back to the copy, in a new era. */
  void Restore();
  /** The holder's process is killed; another daemon claims. */
  void KillHolder();
  /** The same; the process that claims has started just now. */
  void KillHolderForNewProcess();
  /** The holder's process goes on and claims again. */
  void ClaimAgain();
  /** All processes are killed. */
  void KillAll();
  /** All processes are killed, and none runs for the time. */
  void StopAll(Millis aDuration);
  /** An append of the holder gets no response and is executed at the next
   * ExecuteLate, if its condition holds then. */
  void HoldAppends(bool aHold) { this->holdsAppends = aHold; }
  void ExecuteLate();
  /** No messages pass between the daemons below aFirst and the others. */
  void Partition(std::size_t aFirst) { this->partitionedAt = aFirst; }

  /** Windows of which the cloud got reports with different counts. */
  [[nodiscard]] std::size_t ConflictingWindows() const;
  /** Fences that more than one daemon has used. */
  [[nodiscard]] std::size_t SharedFences() const;
  /** Calls that the cloud rejected for a lower fence. */
  [[nodiscard]] std::size_t LowFences() const { return this->lowFences; }
  [[nodiscard]] std::size_t ReportedWindows() const
  {
    return this->cloud.size();
  }
  /** Windows that some holder withheld. */
  [[nodiscard]] std::size_t Withheld() const { return this->withheld.size(); }
  /** Those of them that were never reported. */
  [[nodiscard]] std::size_t NeverReported() const;
  /** Windows that some daemon has run through, from their start until their
   * report was due, and that were never reported. */
  [[nodiscard]] std::size_t MissingWindows() const;

private:
  struct Ledger
  {
    TimePoint life; // start of the sender's process
    TimePoint receivedAt;
    TimePoint remembersSince;
  };
  /** The store's record of when its era began. */
  struct EraRecord
  {
    StoreEra era;
    TimePoint begunBy;
  };
  struct Daemon
  {
    DutyLog log;
    ReportedUsage reported;
    FencingToken fence; // 0: it does not hold the duties
    StoreEra era;       // that it knows
    TimePoint eraSeenAt;
    std::optional<TimePoint> eraBegunBy; // as read from the store
    TimePoint startedAt;
    TimePoint nextPoll;
    std::set<std::uint64_t> accepted;
    /** What the others' ledgers say, and when the last one arrived. */
    std::map<std::size_t, Ledger> ledgers;
  };
  using Step = std::function<void()>;

  void StartDaemon(std::size_t aDaemon);
  void Send(std::size_t aFrom, std::size_t aTo, std::function<void(Daemon&)>);
  /** The daemon calls the store and follows its era. */
  void FollowEra(Daemon& aDaemon, StoreEra aEra);
  void CatchUp(Daemon& aDaemon);
  bool Append(std::size_t aDaemon, serving::DutyRecord aRecord);
  void Claim(std::size_t aDaemon);
  /** Reads when the era began, or writes it if the store does not have it. */
  void LearnEraStart(Daemon& aDaemon);
  [[nodiscard]] UsageHistory HistoryOf(const Daemon& aDaemon) const;
  void Report(std::size_t aDaemon);
  /** Sends to those that may claim next which reports the daemon knows. */
  void SendKnownReports(std::size_t aDaemon);
  void CallCloud(std::size_t aDaemon, const serving::UsageReport& aReport);

  struct HeldAppend
  {
    StorePosition at;
    std::string record;
  };

  TimePoint now;
  std::vector<Daemon> daemons;
  std::vector<std::string> records;
  std::vector<std::string> copy;
  std::vector<HeldAppend> heldAppends;
  bool holdsAppends = false;
  StoreEra era;
  std::optional<EraRecord> eraRecord;
  std::optional<EraRecord> eraRecordCopy;
  std::vector<std::pair<TimePoint, TimePoint>> endedLives;
  std::size_t partitionedAt = 0;
  std::multimap<TimePoint, Step> steps;
  std::map<std::uint64_t, std::set<std::string>> cloud; // by window
  std::map<std::uint64_t, std::set<std::size_t>> fenceUsers;
  std::uint64_t highestFence = 0;
  std::size_t lowFences = 0;
  std::set<std::uint64_t> withheld;
  Random random{ 41 };
};

} // namespace toucanshed::test
