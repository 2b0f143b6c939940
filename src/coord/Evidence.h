/** \file
 * Evidence about the two versions of a rollout: counts of requests, errors and
 * latencies, which each daemon keeps for its own requests and which are added
 * over all daemons.
 */
#pragma once

#include "LatencyBuckets.h"
#include "base/StrongNumber.h"
#include "base/Types.h"
#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** Counts of a version in one stratum; they only grow. */
struct Tally
{
  std::uint64_t requests = 0;
  std::uint64_t errors = 0;
  LatencyHistogram firstToken{};
  LatencyHistogram tokenGap{};
  /** Requests without a first token, by the time that they have taken so far.
   * Their latency is larger than that. */
  LatencyHistogram unanswered{};

  Tally& operator+=(const Tally& aOther);
  bool operator==(const Tally&) const = default;
};

/** The observation of one request that has ended. A negative latency was not
 * observed, or was recorded before. */
struct Observation
{
  bool error = false;
  double firstTokenMs = -1;
  double meanGapMs = -1;
};

/** Number of a request of this daemon that is observed while it runs. */
using ObservedRequest = StrongNumber<struct ObservedRequestTag>;

/** A set of comparable requests: those of one route within one step of a
 * rollout. Within a step the traffic shares are constant, so the requests of
 * both versions are concurrent. Over several steps they are not: a load peak
 * during a later step would count against the new version, which gets most of
 * its requests then. */
struct Stratum
{
  std::uint32_t step = 0;
  std::string route;

  auto operator<=>(const Stratum&) const = default;
};

/** The tallies of one version. */
using StratumTallies = std::map<Stratum, Tally>;

/**
 * Each daemon counts its own requests and sends the totals to the others. A
 * later total of a daemon replaces an earlier one, so repeated, late or
 * reordered messages have no effect.
 *
 * Requests count from when they are sent, not only when they end: the slow
 * requests of a slow version end last. Both versions' requests that run count
 * in the same way: one without a first token by the time that it has taken, a
 * stream by its mean token gap so far.
 *
 * Thread safety: none; the owner serialises.
 */
class EvidenceTable
{
public:
  explicit EvidenceTable(std::string aDaemonId);

  /** Counts a request of this daemon.
   * \param aRollout position of the rollout's order, or the revision of its
   *   document */
  void Observe(Position aRollout,
               const VersionId& aVersion,
               const Stratum& aStratum,
               const Observation& aObservation);
  /** A request of this daemon was sent. It counts as one that runs until Stop.
   */
  ObservedRequest Start(Position aRollout,
                        const VersionId& aVersion,
                        const Stratum& aStratum,
                        TimePoint aNow);
  /** The response has begun; no effect when the request is not observed. */
  void RecordFirstToken(ObservedRequest aRequest, TimePoint aNow);
  /** The response has this many events so far; no effect when the request is
   * not observed. */
  void RecordEvents(ObservedRequest aRequest, std::uint64_t aEvents);
  /** The request has ended; no effect when it is not observed.
   * \param aWasSent whether it counts as unanswered for good if its response
   *   has not begun */
  void Stop(ObservedRequest aRequest, bool aWasSent, TimePoint aNow);
  /** Stores the totals of another daemon if they are later than the known ones;
   * ignores those of this daemon. */
  void Merge(const peer::Evidence& aEvidence);

  /** Returns this daemon's own counts of a rollout. */
  [[nodiscard]] std::vector<peer::Evidence> LocalEvidence(Position aRollout,
                                                          TimePoint aNow) const;
  /** Returns the counts of all daemons of a version in a rollout. */
  [[nodiscard]] StratumTallies Sum(Position aRollout,
                                   const VersionId& aVersion,
                                   TimePoint aNow) const;
  /** Returns what this daemon's requests to a version show that still run. */
  [[nodiscard]] Tally RunningTally(Position aRollout,
                                   const VersionId& aVersion,
                                   TimePoint aNow) const;
  /** A rollout is known by another identity from now on. */
  void Rename(Position aFrom, Position aTo);
  /** Removes a rollout that has ended. */
  void Erase(Position aRollout);

private:
  struct Key
  {
    Position rollout;
    VersionId version;
    Stratum stratum;
    std::string daemon;

    auto operator<=>(const Key&) const = default;
  };

  /** A request of this daemon that has not ended. */
  struct Running
  {
    /** Adds what it shows so far. */
    void AddTo(Tally& aTally, TimePoint aNow) const;

    Key key;
    TimePoint sentAt;
    std::optional<TimePoint> firstTokenAt;
    std::uint64_t events = 0;
  };
  struct Counted
  {
    Tally tally;
    std::uint64_t revision = 0; // of the report; 0 for this daemon's own
  };

  /** This daemon's own counts, with the requests that run. */
  [[nodiscard]] Tally WithRunning(const Key& aKey,
                                  Tally aTally,
                                  TimePoint aNow) const;

  std::string daemonId;
  std::map<Key, Counted> tallies;
  std::map<ObservedRequest, Running> running;
  ObservedRequest lastRequest;
};

} // namespace toucanshed
