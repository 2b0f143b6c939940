/** \file
 * The back ends that may be sent to, as the platform's list, their own answers
 * and the other daemons describe them.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** What the list says of one back end. */
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
  std::int64_t incarnation = 0; // start of this life; a restart may keep the id

  bool operator==(const BackendEntry&) const = default;
};

/** Requests that are at a back end now. */
struct BackendLoad
{
  std::int64_t running = 0;      // sent and not ended
  std::int64_t promptTokens = 0; // of those whose answer has not begun

  auto operator<=>(const BackendLoad&) const = default;
};

/** A back end with what this daemon knows of it. */
struct Backend
{
  BackendEntry entry;
  BackendLoad localLoad;  // sent by this daemon
  BackendLoad remoteLoad; // sent by the other daemons, by their last word
  bool leaving = false;   // by the list, its own answer or another daemon
  /** Its entry may have lapsed with the store; it is used until then. */
  std::optional<TimePoint> graceUntil;
  TimePoint lastSentAt;   // the last send to it; 0: none
  double failureRate = 0; // of the newest answers, newer ones count more
  TimePoint pausedUntil;  // not chosen before, after failures in a row
  unsigned consecutiveFailures = 0;
  double slowness = 1; // time to begin, seen against expected
  /** When something last came from it, or, if later, when it was sent something
   * while it had nothing else to do. */
  TimePoint lastProgressAt;

  /** Its entry is missing, and the time in which it may be listed again is
   * over. */
  [[nodiscard]] bool GraceExpired(TimePoint aNow) const
  {
    return this->graceUntil && *this->graceUntil <= aNow;
  }

  /** It has work of this daemon and nothing has come from it for too long: it
   * hangs, or the path to it is dead, and more requests would hang with it. */
  [[nodiscard]] bool IsStalled(TimePoint aNow) const
  {
    return this->localLoad.running > 0 &&
           aNow - this->lastProgressAt > kStallTimeout;
  }

  /** Engines begin within some hundred ms, also behind long prompts, and give a
   * token every few ms after that. */
  static constexpr Millis kStallTimeout{ 900 };

  [[nodiscard]] std::int64_t TotalRunning() const
  {
    return this->localLoad.running + this->remoteLoad.running;
  }
};

/**
 * Pointers that are given out stay good until the back end is removed, so keep
 * ids, not pointers, over a wait.
 *
 * Thread safety: none; the owner serialises.
 */
class BackendTable
{
public:
  /** Failures in a row after which a back end is passed over for a while. */
  static constexpr unsigned kFailuresBeforePause = 2;
  /** First pause; doubles up to the longest. An engine that has crashed is back
   * after some seconds, so longer pauses would leave it idle. */
  static constexpr Millis kInitialPause{ 400 };
  static constexpr Millis kMaxPause{ 3200 };

  /** Takes in an entry. A new life under a known id starts anew. */
  void Put(const BackendEntry& aEntry);
  /** Its entry is gone.
   * \param aUsedUntil set when the entry may have lapsed with the store; one
   *   that said before that it leaves is dropped at once all the same */
  void Remove(const InstanceId& aId, std::optional<TimePoint> aUsedUntil);
  /** Drops what lapsed and was not listed again in time.
   * \return what was dropped */
  std::vector<InstanceId> Expire(TimePoint aNow);

  /** Its entry names no back end that may be used any more. */
  void MarkEntryUnusable(const InstanceId& aId);
  /** It said itself, or another daemon did, that it takes nothing more. */
  void MarkLeaving(const InstanceId& aId);
  /** An answer of use came from it. */
  void RecordSuccess(const InstanceId& aId);
  /** Something came from it. */
  void RecordProgress(const InstanceId& aId, TimePoint aNow);
  /** It began an answer after aSeenMs, where aExpectedMs were expected. */
  void RecordResponseStart(const InstanceId& aId,
                           double aSeenMs,
                           double aExpectedMs);
  /** It failed, or could not be reached. */
  void RecordFailure(const InstanceId& aId, TimePoint aNow);

  [[nodiscard]] Backend* Find(const InstanceId& aId);
  /** Back ends of a service, leaving ones too. */
  [[nodiscard]] std::vector<Backend*> ForService(const ServiceId& aService);
  [[nodiscard]] const std::map<InstanceId, Backend>& All() const
  {
    return this->backends;
  }
  /** The same for two tables that list the same back ends for use. */
  [[nodiscard]] std::uint64_t Digest() const;
  /** Sets what the other daemons have sent, as the sum of their words. */
  void SetRemoteLoads(const std::map<InstanceId, BackendLoad>& aLoads);

private:
  /** Weight of the newest answer in failureShare: about the last ten count. */
  static constexpr double kFailureRateWeight = 0.1;

  std::map<InstanceId, Backend> backends;
};

} // namespace toucanshed
