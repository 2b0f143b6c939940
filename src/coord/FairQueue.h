/** \file
 * Requests that wait for a place, fair between teams, quick help before
 * reports.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

enum class LatencyClass
{
  eInteractive, // a person waits for the first token
  eBatch,       // may wait, must be complete
};

/** One waiting request. */
struct QueueItem
{
  std::uint64_t ticket = 0;
  TeamId team;
  LatencyClass latencyClass = LatencyClass::eInteractive;
  double cost = 1; // tokens, estimated
  TimePoint arrived;
  TimePoint deadline; // for a place; later it is refused
};

/**
 * Start-time fair queueing between teams by weight: a team that floods waits
 * behind its own requests, and what a team leaves unused the others take.
 * Quick help goes first; but a report that has waited half of the time it has
 * takes every kReportTurn-th place, so that reports finish through a long peak.
 *
 * Thread safety: none; the owner serialises.
 */
class FairQueue
{
public:
  void SetWeight(const TeamId& aTeam, double aWeight);

  /** \return false at the bound of the team's queue: refuse it. */
  bool Push(QueueItem aItem);
  /** Takes out the request whose turn it is, if aCanStart says that it can
   * start now; otherwise it stays first. */
  std::optional<QueueItem> PopIf(
    TimePoint aNow,
    const std::function<bool(const QueueItem&)>& aCanStart);
  /** Takes out what can no longer get a place in time. */
  std::vector<QueueItem> RemoveExpired(TimePoint aNow);
  /** Takes a request out, if it still waits. */
  bool Cancel(std::uint64_t aTicket);

  [[nodiscard]] std::size_t Size() const { return this->size; }
  /** Requests that would be served before a new one of this team. */
  [[nodiscard]] double EstimateAhead(const TeamId& aTeam,
                                     LatencyClass aUrgency) const;

  static constexpr std::size_t kMaxPerTeam = 2000;
  static constexpr std::uint64_t kBatchInterval = 4;

private:
  struct QueuedRequest
  {
    QueueItem item;
    double virtualFinish = 0; // virtual time at which its team would be served
  };
  struct ClassQueue
  {
    std::map<TeamId, std::list<QueuedRequest>> teams;
    std::map<TeamId, double> lastVirtualFinish;
    double virtualTime = 0;
    std::size_t size = 0;
  };

  ClassQueue& QueueOf(LatencyClass aUrgency);
  [[nodiscard]] double WeightOf(const TeamId& aTeam) const;
  std::optional<QueueItem> PopFrom(
    ClassQueue& aLane,
    const std::function<bool(const QueueItem&)>& aCanStart);
  [[nodiscard]] bool BatchIsDue(TimePoint aNow) const;

  ClassQueue interactive;
  ClassQueue batch;
  std::map<TeamId, double> weights;
  std::size_t size = 0;
  std::uint64_t sinceBatch = 0;
};

} // namespace toucanshed
