/** \file
 * Finds out what in requests crashes back ends, and remembers it.
 */
#pragma once

#include "ResponseStages.h"
#include "base/StorePosition.h"
#include "base/Types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace toucanshed {

/** Hash of what several requests may share: a section of their prompts at one
 * service, or a whole request that is sent again. */
using SuspectId = StrongNumber<struct SuspectTag>;
/** Hash of a back end's id and incarnation. */
using EngineLife = StrongNumber<struct EngineLifeTag>;

/** How requests with a suspect may be sent. */
enum class CrashSuspicion
{
  eClear,      // to any back end
  eSerialized, // one at a time over all daemons, and not repeated
  eBlocked,    // not at all
};

/** A back end ended before it had written a response. */
struct EngineCrash
{
  EngineLife engine;
  TimePoint sentAt; // of the request
  TimePoint at;
  Millis age{ 0 }; // of the response; 0: it had not begun

  auto operator<=>(const EngineCrash&) const = default;
};

/** What a daemon knows of a suspect. All times are cluster time. */
struct SuspectReport
{
  SuspectId id;
  /** Those that no response has cleared, oldest first. */
  std::vector<EngineCrash> crashes;
  PassTimes passes;
  bool blocked = false;
  std::optional<StoreEra> recordedIn; // the block is in the store of this era
};

/** A change of a suspect's state, for the log. */
struct SuspectChange
{
  enum class Kind
  {
    eBlocked,
    eLifted, // a block ended because a response was written
  };
  Kind kind = Kind::eBlocked;
  SuspectReport suspect;
  std::size_t neededCrashes = 0; // to block it
};

/** Whether a request with a serialized suspect may be sent now. */
struct TrialDecision
{
  bool granted = false;
  Millis retryAfter{ 0 }; // if not granted
};

/**
 * Requests that crash back ends may have no more in common than one section of
 * their prompts, which sound requests do not have, while these share everything
 * else with them and run beside them. The difference: with the section that
 * crashes back ends no response is ever written beyond the crash. So the
 * evidence against a suspect is the number of back ends that crashed, one after
 * the other, as they wrote a response to a request with it, since the last
 * response to one came further. A response clears all that its request consists
 * of, as far as it came; one that ends whole clears it altogether.
 *
 * Crashes count as many times as one request was sent after the crash of the
 * one before: requests that run at the same time may have lost a failure domain
 * or a rack. A sound suspect meets n more crashes in a row, and no response in
 * between, with probability p^n, where p is the part of all time in which back
 * ends crash for other reasons. So many crashes block a suspect that of all
 * present suspects fewer than kMaxFalseBlocks are expected to meet them.
 *
 * Reports merge in any order and any number of times, so daemons send what they
 * know as state, and a daemon that starts late learns it from any other.
 *
 * Thread safety: none; the owner serialises.
 */
class CrashSuspects
{
public:
  /** Crashes that block a suspect while few back ends crash, and at most. */
  static constexpr std::size_t kMinCrashes = 3;
  static constexpr std::size_t kMaxCrashes = 5;
  /** Sound suspects that may be expected to be blocked while so many are
   * suspected and back ends crash at the present rate. */
  static constexpr double kMaxFalseBlocks = 0.01;
  /** A crash this long after the start of a response is a late one. */
  static constexpr Millis kWriteTime = kStageTimes.front();
  /** A back end that crashes ends all that it writes. Each second a daemon
   * names so many suspects of late crashes; more of them would only displace
   * each other, and fill its link with reports. */
  static constexpr std::size_t kMaxLateSuspects = 200;
  /** While responses are written all the time, several back ends may crash
   * before the next one is known. So a suspect with which a response began
   * within this time before a crash, and the time that it takes to come
   * further, is neither serialized nor blocked by it. */
  static constexpr Millis kPassValidity{ 2000 };
  /** A block ends this long after its last crash. Then one request is tried; if
   * the back end crashes, the block is back. */
  static constexpr Millis kBlockTime{ 30 * 60 * 1000 };
  /** How long a crash that did not lead to a block counts. */
  static constexpr Millis kCrashRetention{ 10 * 60 * 1000 };
  /** The next request with a serialized suspect may be sent when the result of
   * the one before is known, or after this time and twice the age at which a
   * response crashed. */
  static constexpr Millis kTrialTime{ 2000 };
  /** When to ask again for a trial that is not granted. */
  static constexpr Millis kTrialRetry{ 30 };
  /** Suspects that are remembered; beyond it those go first whose last crash is
   * the oldest, blocked ones last. */
  static constexpr std::size_t kMaxSuspects = 1000;
  /** Suspects that are not blocked are part of heartbeats for this long after
   * they changed. */
  static constexpr Millis kNewsTime{ 5000 };
  /** Blocked suspects in a heartbeat. */
  static constexpr std::size_t kMaxPerHeartbeat = 24;

  /** \param aBackends number of listed back ends */
  explicit CrashSuspects(std::function<std::size_t()> aBackends);

  /** A back end has been writing a response to a request with these suspects.
   * \param aStarted when it began to write it
   * \param aWhole whether the response has ended, and nothing is missing */
  void RecordPass(const std::vector<SuspectId>& aSuspects,
                  TimePoint aStarted,
                  TimePoint aNow,
                  bool aWhole = false);
  /** A back end crashed before it had written a response to a request with
   * these suspects. The others must know at once: TakeUrgent. */
  void RecordCrash(const std::vector<SuspectId>& aSuspects,
                   EngineCrash aCrash,
                   TimePoint aNow);

  /** The strongest suspicion among aSuspects. */
  [[nodiscard]] CrashSuspicion SuspicionOf(
    const std::vector<SuspectId>& aSuspects,
    TimePoint aNow) const;
  /** What is known of a suspect, also when it is clear. */
  [[nodiscard]] SuspectReport ReportOf(SuspectId aSuspect) const;
  /** Whether a response to a request with the suspect was ever written, as far
   * as is known. */
  [[nodiscard]] bool HasPassed(SuspectId aSuspect) const;
  /** Whether a request that may have crashed a back end may be sent again by
   * this system: a response was written with each section, and the request
   * itself has not crashed two.
   * \param aSections without the request's own id */
  [[nodiscard]] bool MayRepeat(const std::vector<SuspectId>& aSections,
                               SuspectId aRequest,
                               TimePoint aNow) const;
  /** The suspect whose trial a request needs: the serialized one with the most
   * crashes; nothing when none is serialized. */
  [[nodiscard]] std::optional<SuspectId> TrialNeeded(
    const std::vector<SuspectId>& aSuspects,
    TimePoint aNow) const;
  /** Grants the next trial of a suspect. Precondition for a bound over all
   * daemons: one daemon grants all trials of a suspect. */
  [[nodiscard]] TrialDecision GrantTrial(SuspectId aSuspect, TimePoint aNow);

  /** Applies what another daemon, or the store, states. */
  void Merge(const SuspectReport& aReport, TimePoint aNow);
  /** Reports that the other daemons must receive at once. */
  [[nodiscard]] std::vector<SuspectReport> TakeUrgent();
  /** Reports that clear suspects of others, to be sent after a random delay:
   * many daemons learn of a response at the same time, and the first report
   * saves the others theirs. */
  [[nodiscard]] std::vector<SuspectReport> TakeCleared();
  [[nodiscard]] bool HasUrgent() const { return !this->urgent.empty(); }
  [[nodiscard]] bool HasCleared() const { return !this->cleared.empty(); }
  /** All blocked suspects and the latest others. */
  [[nodiscard]] std::vector<SuspectReport> HeartbeatReports(TimePoint aNow);

  /** Blocks that are not in the store of the era. */
  [[nodiscard]] std::vector<SuspectReport> Unrecorded(StoreEra aEra,
                                                      TimePoint aNow) const;
  void MarkRecorded(SuspectId aSuspect, StoreEra aEra);
  /** Whether this daemon has decided the block. */
  [[nodiscard]] bool IsOwnDecision(SuspectId aSuspect) const;

  [[nodiscard]] std::vector<SuspectChange> TakeChanges();
  [[nodiscard]] std::vector<SuspectReport> Blocked(TimePoint aNow) const;
  [[nodiscard]] std::vector<SuspectReport> All() const;
  void Expire(TimePoint aNow);

private:
  struct Suspect
  {
    SuspectReport report;
    TimePoint changedAt;
    TimePoint trialSince; // the latest trial
    TimePoint trialUntil; // no other trial before; 0: none
    bool decidedHere = false;

    [[nodiscard]] bool IsBlocked(TimePoint aNow) const;
    [[nodiscard]] TimePoint LastCrash() const;
    /** Whether a response came further shortly before the last crash. */
    [[nodiscard]] bool PassedLately() const;
    /** Whether a response that began later came further than a crash. */
    [[nodiscard]] bool IsCleared(const EngineCrash& aCrash) const;
    /** The largest age of a response that crashed. */
    [[nodiscard]] Millis LargestAge() const;
  };

  [[nodiscard]] const Suspect* Find(SuspectId aId) const;
  Suspect& FindOrAdd(SuspectId aId, TimePoint aNow);
  [[nodiscard]] static CrashSuspicion LevelOf(const Suspect& aSuspect,
                                              TimePoint aNow);
  void AddCrash(Suspect& aSuspect, const EngineCrash& aCrash, TimePoint aNow);
  /** Removes crashes that a later response clears, and blocks the suspect if
   * there are enough others. */
  void Settle(Suspect& aSuspect, TimePoint aNow);
  /** Crashes in a row that block the suspect. */
  [[nodiscard]] std::size_t CrashesNeeded(const Suspect& aSuspect,
                                          TimePoint aNow) const;
  void RememberPass(SuspectId aId, TimePoint aStarted, std::size_t aStages);
  /** Whether a late crash may name so many suspects more. */
  [[nodiscard]] bool MayNameLate(std::size_t aSuspects, TimePoint aNow);
  void DropOldest();

  std::function<std::size_t()> backends;
  std::map<SuspectId, Suspect> suspects;
  std::map<EngineLife, TimePoint> ends; // recent crashes of all back ends
  /** When responses were written, of sections that are no suspects; in two
   * generations, the older of which is dropped when the other is full. */
  std::unordered_map<SuspectId, PassTimes> passes;
  std::unordered_map<SuspectId, PassTimes> olderPasses;
  TimePoint lateSince; // start of the second in which lateSuspects were named
  std::size_t lateSuspects = 0;
  std::set<SuspectId> urgent;
  std::set<SuspectId> cleared;
  std::vector<SuspectChange> changes;
  std::size_t heartbeats = 0;
};

} // namespace toucanshed
