/** \file
 * The known back ends, as described by the backend list, their own responses
 * and the other daemons.
 */
#pragma once

#include "EngineNotices.h"
#include "ObservedSpeed.h"
#include "base/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace toucanshed {

/** A back end's entry in the backend list. */
struct BackendEntry
{
  InstanceId id;
  ServiceId service;
  std::string address; // IP:PORT
  ZoneId zone;
  VersionId version;
  unsigned slots = 1;
  bool leaving = false;
  bool reclaimable = false;
  std::int64_t incarnation = 0; // start time; a restart may keep the id
  std::uint64_t renewal = 0;    // counts up with each write; 0: not stated
  Millis warmupLeft{ 0 };       // when the entry was written

  /** Whether both describe the same usable back end. The rest of the warm-up
   * and the count of renewals change with each renewal and do not matter. */
  bool operator==(const BackendEntry& aOther) const
  {
    const auto fields = [](const BackendEntry& aEntry) {
      return std::tie(aEntry.id,
                      aEntry.service,
                      aEntry.address,
                      aEntry.zone,
                      aEntry.version,
                      aEntry.slots,
                      aEntry.leaving,
                      aEntry.reclaimable,
                      aEntry.incarnation);
    };
    return fields(*this) == fields(aOther);
  }
};

/** Load that requests in flight put on a back end. */
struct BackendLoad
{
  std::int64_t running = 0;      // requests sent and not ended
  std::int64_t promptTokens = 0; // of requests whose response has not begun

  auto operator<=>(const BackendLoad&) const = default;
};

/** Average of what the other daemons have reported recently. */
struct UsualLoad
{
  double running = 0;
  double promptTokens = 0;
};

/** A back end and its state as known to this daemon. */
struct Backend
{
  BackendEntry entry;
  std::uint64_t idHash = 0; // of entry.id
  /** Counts the times that any back end was added. Requests that were sent
   * before a removal don't count in the one that is added later. */
  std::uint64_t listing = 0;
  BackendLoad localLoad;  // sent by this daemon
  BackendLoad remoteLoad; // sent by the other daemons, as last reported
  UsualLoad usualRemote;  // average of remoteLoad
  /** Memory that this daemon's requests take there, with their expected output.
   */
  std::uint64_t heldTokens = 0;
  bool leaving = false; // by the list, its own response or another daemon
  /** Leaving only because its entry cannot be used: until the next one. */
  bool entryUnusable = false;
  TimePoint leavingSince; // as seen by Expire; 0: not yet
  TimePoint restUntil;    // it accepts no request from this daemon before
  /** Set when its entry is missing and may have expired in an outage of the
   * store: it is used until then. */
  std::optional<TimePoint> graceUntil;
  TimePoint lastSentAt;   // last send to it; 0: none
  double failureRate = 0; // moving average over the latest responses
  TimePoint pausedUntil;  // not eligible before, after consecutive failures
  unsigned consecutiveFailures = 0;
  TimePoint
    unresponsiveSince; // it accepts no connection in time since; 0: it does
  ObservedSpeed speed;
  /** Slots that it has at most, by a rejection, until slotsBoundUntil. */
  unsigned slotsBound = 0;
  TimePoint slotsBoundUntil;
  bool inLongPool = false; // see PromptPools
  /** Time of the last data from it or, if later, of a send to it while it was
   * idle, or of a caller reading that had not. */
  TimePoint lastProgressAt;
  /** Of this daemon's requests there, those whose callers do not read what it
   * has sent. */
  std::int64_t unreadResponses = 0;
  /** Of this daemon's requests there, those that have been without a sign of it
   * for long; see SilentSends. */
  std::int64_t silentRequests = 0;
  TimePoint silentSince;    // to all of them; 0: it is not
  TimePoint silenceFoundAt; // requests sent before belong to that silence
  TimePoint lastDataAt;     // 0: none yet

  /** Its entry is missing and the grace period has expired. */
  [[nodiscard]] bool GraceExpired(TimePoint aNow) const
  {
    return this->graceUntil && *this->graceUntil <= aNow;
  }

  /** It has requests of this daemon and has sent nothing for kStallTimeout. It
   * hangs or is unreachable, and more requests to it would hang too. One that
   * was silent for longer gets one request at a time, which shows whether it is
   * back, until it has sent something. */
  [[nodiscard]] bool IsStalled(TimePoint aNow) const
  {
    const bool awaitsData =
      this->localLoad.running > this->unreadResponses + this->silentRequests;
    return awaitsData && (this->silentSince.ms != 0 ||
                          aNow - this->lastProgressAt > kStallTimeout);
  }

  /** Engines start a response within a few hundred milliseconds, also behind
   * long prompts, and then send a token every few milliseconds. */
  static constexpr Millis kStallTimeout{ 900 };

  [[nodiscard]] std::int64_t TotalRunning() const
  {
    return this->localLoad.running + this->remoteLoad.running;
  }
};

/**
 * Table of the known back ends.
 *
 * Returned pointers are valid until the back end is removed; keep ids instead
 * of pointers across a wait.
 *
 * Thread safety: none; the owner serialises.
 */
class BackendTable
{
public:
  /** Consecutive failures after which a back end is paused. */
  static constexpr unsigned kFailuresBeforePause = 2;
  /** First pause; each further failure doubles it up to kMaxPause. A crashed
   * engine is back after some seconds, so longer pauses would leave it idle. */
  static constexpr Millis kInitialPause{ 400 };
  static constexpr Millis kMaxPause{ 3200 };

  /** Adds or updates an entry. A new incarnation under a known id resets the
   * back end's state. */
  void Put(const BackendEntry& aEntry);
  /** The entry was deleted from the backend list.
   * \param aUsedUntil set when the entry may have expired in an outage of the
   *   store; a back end already marked as leaving is dropped at once regardless
   */
  void Remove(const InstanceId& aId, std::optional<TimePoint> aUsedUntil);
  /** A leaving back end without requests is dropped after this time. Its
   * removal from the list may have been reported in a datagram that was lost,
   * and is no difference between the usable back ends that would be noticed. */
  static constexpr Millis kLeavingRetention{ 60000 };

  /** Drops the back ends whose grace period has expired, and those that have
   * left long ago.
   * \return the dropped back ends */
  std::vector<InstanceId> Expire(TimePoint aNow);

  /** The entry no longer describes a usable back end. */
  void MarkEntryUnusable(const InstanceId& aId);
  /** The back end itself or another daemon reported that it accepts no more
   * requests. Holds also for entries that are listed later.
   * \param aStartedBy binds the incarnations that started by then, see
   *   EngineNotices; 0: only the one listed now
   * \return whether a listed back end begins to leave thereby */
  bool MarkLeaving(const InstanceId& aId, std::int64_t aStartedBy);
  /** The back end has asked this daemon in a response to send it no request
   * before aUntil. Holds also for entries that are listed later.
   * \param aStartedBy as for MarkLeaving
   * \return whether a listed back end begins to rest thereby */
  bool RecordRest(const InstanceId& aId,
                  std::int64_t aStartedBy,
                  TimePoint aUntil,
                  TimePoint aNow);
  /** The back end returned a usable response. */
  void RecordSuccess(const InstanceId& aId);
  /** The back end sent some data. */
  void RecordProgress(const InstanceId& aId, TimePoint aNow);
  /** The back end began a response after aObservedMs, where aUsualMs were
   * expected of one with the usual speed; see ObservedSpeed::RecordStart. */
  void RecordResponseStart(const InstanceId& aId,
                           double aObservedMs,
                           double aUsualMs,
                           bool aKnowsQueue,
                           TimePoint aNow);
  /** The back end wrote its output tokens aObservedMs apart, where aUsualMs
   * were expected of one with the usual speed. */
  void RecordSteps(const InstanceId& aId, double aObservedMs, double aUsualMs);
  /** The back end has rejected a request for lack of room. For kSlotsBoundTime
   * it is taken to have no more slots than it was using, whatever it reports.
   * Precondition: the rejected request still counts in its load. */
  void RecordSlotRejection(const InstanceId& aId, TimePoint aNow);
  static constexpr Millis kSlotsBoundTime{ 1000 };
  /** The back end failed or was unreachable. */
  void RecordFailure(const InstanceId& aId, TimePoint aNow);

  /** The back end did not accept a connection in time. A sound one may be
   * unresponsive for a second or so, so this counts as a failure only after
   * kMaxUnresponsiveTime; until then it is paused for kInitialPause at a time.
   * \return whether it counts as a failure */
  bool RecordUnresponsive(const InstanceId& aId, TimePoint aNow);
  static constexpr Millis kMaxUnresponsiveTime{ 1600 };
  /** Lifts all pauses that failures have caused and their part in the failure
   * rates: the failures were not the back ends'. */
  void ForgetFailures();

  [[nodiscard]] Backend* Find(const InstanceId& aId);
  /** Null also when the back end was removed and added again since.
   * \param aListing Backend::listing of the back end that is meant */
  [[nodiscard]] Backend* FindListing(const InstanceId& aId,
                                     std::uint64_t aListing);
  /** Back ends of a service, including leaving ones. */
  [[nodiscard]] std::vector<Backend*> ForService(const ServiceId& aService);
  [[nodiscard]] const std::map<InstanceId, Backend>& All() const
  {
    return this->backends;
  }
  /** Digest of the usable entries; equal for two tables that list the same
   * usable back ends. */
  [[nodiscard]] std::uint64_t Digest() const;
  /** Sets the load from the other daemons' requests, summed over all daemons.
   */
  void SetRemoteLoads(const std::map<InstanceId, BackendLoad>& aLoads,
                      TimePoint aNow);

private:
  /** Applies what the back end's incarnation has stated before. Precondition:
   * its incarnation is known. */
  void ApplyNotices(Backend& aBackend) const;

  /** Weight of the latest response in failureRate, which so averages about the
   * last ten. */
  static constexpr double kFailureRateWeight = 0.1;

  std::map<InstanceId, Backend> backends;
  std::uint64_t listings = 0;
  EngineNotices notices;
  TimePoint remoteLoadsAt; // of the latest SetRemoteLoads
};

} // namespace toucanshed
