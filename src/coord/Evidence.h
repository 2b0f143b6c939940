/** \file
 * What has been seen of two versions during a move, counted per daemon and
 * added up over all.
 */
#pragma once

#include "LatencyBuckets.h"
#include "base/Types.h"
#include "peer.pb.h"

#include <map>
#include <string>
#include <vector>

namespace toucanshed {

/** Counts of one version on one route; they only grow. */
struct Tally
{
  std::uint64_t requests = 0;
  std::uint64_t errors = 0;
  LatencyHistogram firstToken{};
  LatencyHistogram tokenGap{};

  Tally& operator+=(const Tally& aOther);
};

/** One request's contribution. Latencies below zero were not observed. */
struct Observation
{
  bool error = false;
  double firstTokenMs = -1;
  double meanGapMs = -1;
};

/** Where requests are comparable: within one step of a move the shares stand
 * still, so old and new requests come at the same times. Over several steps
 * they do not: a peak during a later step would burden the new version, which
 * has most of its requests then. */
struct Stratum
{
  std::uint32_t step = 0;
  std::string route;

  auto operator<=>(const Stratum&) const = default;
};

/** Tallies of one version. */
using StratumTallies = std::map<Stratum, Tally>;

/**
 * Each daemon counts its own requests and tells the sums; a later sum of the
 * same daemon replaces an earlier one, so repeated, late or crossed messages
 * change nothing.
 *
 * Thread safety: none; the owner serialises.
 */
class EvidenceTable
{
public:
  explicit EvidenceTable(std::string aSelf);

  void Observe(Position aMove,
               const VersionId& aVersion,
               const Stratum& aStratum,
               const Observation& aObservation);
  void Merge(const peer::Evidence& aEvidence);

  /** This daemon's own counts about a move. */
  [[nodiscard]] std::vector<peer::Evidence> LocalEvidence(Position aMove) const;
  /** All daemons' counts about one version in a move. */
  [[nodiscard]] StratumTallies Sum(Position aMove,
                                   const VersionId& aVersion) const;
  /** Forgets a move that has ended. */
  void Erase(Position aMove);

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
