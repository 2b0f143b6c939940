/** \file
 * Evidence about the two versions of a rollout: counts of requests, errors and
 * latencies, which each daemon keeps for its own requests and which are added
 * over all daemons.
 */
#pragma once

#include "LatencyBuckets.h"
#include "base/Types.h"
#include "peer.pb.h"

#include <map>
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

  Tally& operator+=(const Tally& aOther);
};

/** The observation of one request. A negative latency was not observed. */
struct Observation
{
  bool error = false;
  double firstTokenMs = -1;
  double meanGapMs = -1;
};

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
  /** Stores the totals of another daemon if they are later than the known ones;
   * ignores those of this daemon. */
  void Merge(const peer::Evidence& aEvidence);

  /** Returns this daemon's own counts of a rollout. */
  [[nodiscard]] std::vector<peer::Evidence> LocalEvidence(
    Position aRollout) const;
  /** Returns the counts of all daemons of a version in a rollout. */
  [[nodiscard]] StratumTallies Sum(Position aRollout,
                                   const VersionId& aVersion) const;
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

  std::string daemonId;
  std::map<Key, Tally> tallies;
};

} // namespace toucanshed
