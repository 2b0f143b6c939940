/** \file
 * The active configuration and the rollouts, computed by applying the log.
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

/** The active document of a service and the revision that activated it. */
struct ServiceEntry
{
  Position revision;
  config::ServiceDocument document;
};

/** The result of applying a configuration change from an operator. */
struct ChangeResult
{
  std::string changeId;
  bool accepted = false;
  Position revision; // of this change if accepted, else the active one
  std::string reason;
};

/**
 * A deterministic state machine: the same records in the same order give the
 * same state on every daemon. A change is accepted only if the revision that it
 * is based on is still active. Of two concurrent changes to a service, the
 * first one in the log is accepted and the other is refused. The steps of a
 * rollout are accepted only in order, and never after its end.
 *
 * Thread safety: none; the owner serialises calls.
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
  /** The running rollout of a service, or null. */
  [[nodiscard]] const RolloutState* FindRunningRollout(
    const ServiceId& aService) const;
  /** The result of a change; empty if it is unknown or no longer retained. */
  [[nodiscard]] std::optional<ChangeResult> ResultOf(
    const std::string& aChangeId) const;
  /** Position of the latest record applied. */
  [[nodiscard]] Position AppliedPosition() const
  {
    return this->appliedPosition;
  }

  /** The state up to AppliedPosition(), for daemons that start after the log
   * has dropped the records. */
  [[nodiscard]] records::ControlSnapshot Snapshot() const;
  /** Restores a snapshot. It is ignored unless it covers more than
   * AppliedPosition(), so that a late one never reverts the configuration. */
  void Restore(const records::ControlSnapshot& aSnapshot);

  /** Rollouts retained for operators, and change results retained for `apply`.
   * The rollout of a service's active revision is never dropped. */
  static constexpr std::size_t kMaxRetained = 1000;

private:
  void ApplyChange(Position aPosition, const records::ConfigChange& aChange);
  void ApplyRolloutStep(const records::RolloutStep& aStep);
  void ApplyRolloutEnd(const records::RolloutEnd& aEnd);
  void StartRollout(Position aPosition, const records::ConfigChange& aChange);
  void AddResult(ChangeResult aResult);

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

/** The present traffic shares of a service: those of its document, or those of
 * its latest rollout if there is one.
 * \param aLatestRollout null if the service has none.
 * \param aRolledBack whether this daemon has received a notice that the rollout
 *   is rolled back, even if the log does not record it yet.
 * Thread safety: pure function. */
std::vector<VersionShare>
EffectiveShares(const ServiceEntry& aEntry,
                const RolloutState* aLatestRollout,
                bool aRolledBack);

/** Selects the version for a request. The same hash gives the same version on
 * every daemon. */
VersionId
ChooseVersion(const std::vector<VersionShare>& aShares, std::uint64_t aHash);

} // namespace toucanshed
