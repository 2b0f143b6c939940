/** \file
 * The configuration in force and the moves under way, folded from the log.
 */
#pragma once

#include "RolloutState.h"
#include "base/Types.h"
#include "records.pb.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** One service's document and the revision that brought it into force. */
struct ServiceEntry
{
  Position revision;
  config::ServiceDocument document;
};

/** What the fold made of a change that an operator sent. */
struct ChangeResult
{
  std::string changeId;
  bool accepted = false;
  Position revision; // of this change, or of the one that won
  std::string reason;
};

/**
 * A pure fold: the same records in the same order give the same state on
 * every daemon. A change is accepted only on the revision it was based on, so
 * of two racing operators the first in the log wins and the other is refused.
 * Steps of a move are accepted only in order and never after its end.
 *
 * Thread safety: none; the owner serialises.
 */
class ControlTable
{
public:
  void Apply(Position aPosition, const records::Record& aRecord);

  /** Null when the service is not configured. */
  [[nodiscard]] const ServiceEntry* Find(const ServiceId& aService) const;
  [[nodiscard]] const std::map<ServiceId, ServiceEntry>& Services() const
  {
    return this->services;
  }
  [[nodiscard]] const std::map<Position, RolloutState>& RolloutsByRevision()
    const
  {
    return this->rollouts;
  }
  /** The move that now runs for a service, or null. */
  [[nodiscard]] const RolloutState* FindRunningRollout(
    const ServiceId& aService) const;
  /** What became of a change, while it is among the newest kept. */
  [[nodiscard]] std::optional<ChangeResult> ResultOf(
    const std::string& aChangeId) const;
  /** Position of the newest record folded. */
  [[nodiscard]] Position AppliedPosition() const
  {
    return this->appliedPosition;
  }

  /** Everything up to Applied, for daemons that start after the log has
   * dropped the records. */
  [[nodiscard]] records::ControlSnapshot Snapshot() const;
  /** Takes a snapshot in; ignored when it covers less than is known, so a
   * late one never takes the configuration back. */
  void Restore(const records::ControlSnapshot& aSnapshot);

  /** Ended moves kept for operators, and verdicts kept for `apply`. */
  static constexpr std::size_t kMaxRetained = 1000;

private:
  void ApplyChange(Position aPosition, const records::ConfigChange& aChange);
  void ApplyRolloutStep(const records::RolloutStep& aStep);
  void ApplyRolloutEnd(const records::RolloutEnd& aEnd);
  void StartRollout(Position aPosition, const records::ConfigChange& aChange);
  void AddResult(ChangeResult aVerdict);

  std::map<ServiceId, ServiceEntry> services;
  std::map<Position, RolloutState> rollouts;
  std::deque<ChangeResult> changeResults;
  Position appliedPosition;
};

/** A version and its share of the traffic in percent. */
struct VersionShare
{
  VersionId version;
  std::uint32_t percent = 0;
};

/** Shares now in force for a service: those of its document, as its newest
 * move has changed them.
 * \param aTakenBack whether this daemon has heard that the move is taken back,
 *   even if the log does not say so yet. Thread safety: pure function. */
std::vector<VersionShare>
EffectiveShares(const ServiceEntry& aEntry,
                const RolloutState* aNewestMove,
                bool aTakenBack);

/** The version for a request, the same for the same hash on every daemon. */
VersionId
ChooseVersion(const std::vector<VersionShare>& aShares, std::uint64_t aHash);

} // namespace toucanshed
