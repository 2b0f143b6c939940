/** \file
 * Which other daemon sends a request in the place of one that reaches no
 * engine.
 */
#pragma once

#include "base/Random.h"
#include "base/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** A daemon that reports that it reaches engines. */
struct RelayCandidate
{
  DaemonId id;
  ZoneId zone;
  std::string address;         // IP:PORT
  std::int64_t inProgress = 0; // requests there, as last reported
};

/**
 * Spreads relayed requests over the daemons with room. Those of this daemon's
 * own failure domain are preferred while they have no more to do than others,
 * as bytes between domains are billed.
 *
 * Thread safety: none; the owner serialises.
 */
class RelayChoice
{
public:
  /** A daemon that has refused a relayed request gets none for this long. */
  static constexpr Millis kRefusalTime{ 1000 };

  /** The daemon to send to; nothing when there is none.
   * \param aCandidates without those that this request has tried
   * \param aStayInDomain whether this request has not yet been refused by a
   *   daemon of the own failure domain */
  [[nodiscard]] std::optional<RelayCandidate> Choose(
    const std::vector<RelayCandidate>& aCandidates,
    const ZoneId& aOwnZone,
    bool aStayInDomain,
    Random& aRandom,
    TimePoint aNow);
  void RecordSend(const DaemonId& aId) { ++this->sent[aId]; }
  void RecordEnd(const DaemonId& aId);
  void RecordRefusal(const DaemonId& aId, TimePoint aNow)
  {
    this->refusedUntil[aId] = aNow + kRefusalTime;
  }

private:
  [[nodiscard]] std::int64_t LoadOf(const RelayCandidate& aCandidate) const;

  std::map<DaemonId, std::int64_t> sent; // from here, in progress
  std::map<DaemonId, TimePoint> refusedUntil;
};

} // namespace toucanshed
