/** \file
 * Queue of requests that wait for a slot: fair between teams, interactive
 * requests before batch requests.
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
  eBatch,       // may wait, but must complete
};

/** One queued request. */
struct QueueItem
{
  std::uint64_t ticket = 0;
  TeamId team;
  LatencyClass latencyClass = LatencyClass::eInteractive;
  double cost = 1; // estimated tokens
  TimePoint arrived;
  TimePoint deadline; // for getting a slot; refused afterwards
};

/**
 * Start-time fair queueing between teams by weight. A team that sends too many
 * requests only delays its own, and the other teams use the share that a team
 * leaves idle.
 *
 * Interactive requests go first. When the oldest batch request of a team has
 * waited at least half of the time between its arrival and its deadline, every
 * kBatchInterval-th slot goes to a batch request, so that batch requests
 * complete during a long peak.
 *
 * Thread safety: none; the owner serialises calls.
 */
class FairQueue
{
public:
  /** Sets the weight of a team; values below 1 count as 1. */
  void SetWeight(const TeamId& aTeam, double aWeight);

  /** \return false when the team's queue is full; the caller then refuses the
   * request. */
  bool Push(QueueItem aItem);
  /** Removes and returns the next request that aCanStart accepts. Only the
   * first request of each team is considered; the others keep their position.
   */
  std::optional<QueueItem> PopIf(
    TimePoint aNow,
    const std::function<bool(const QueueItem&)>& aCanStart);
  /** Removes and returns the requests whose deadline has passed. */
  std::vector<QueueItem> RemoveExpired(TimePoint aNow);
  /** Removes a request. \return false when it is no longer queued. */
  bool Cancel(std::uint64_t aTicket);

  [[nodiscard]] std::size_t Size() const { return this->size; }
  /** Estimated number of requests served before a new one of this team. */
  [[nodiscard]] double EstimateAhead(const TeamId& aTeam,
                                     LatencyClass aLatencyClass) const;

  static constexpr std::size_t kMaxPerTeam = 2000;
  static constexpr std::uint64_t kBatchInterval = 4;

private:
  struct QueuedRequest
  {
    QueueItem item;
    double virtualFinish = 0; // virtual time that orders the teams
  };
  struct ClassQueue
  {
    std::map<TeamId, std::list<QueuedRequest>> teams;
    std::map<TeamId, double> lastVirtualFinish;
    double virtualTime = 0;
    std::size_t size = 0;
  };

  ClassQueue& QueueOf(LatencyClass aLatencyClass);
  [[nodiscard]] double WeightOf(const TeamId& aTeam) const;
  std::optional<QueueItem> PopFrom(
    ClassQueue& aQueue,
    const std::function<bool(const QueueItem&)>& aCanStart);
  [[nodiscard]] bool BatchIsDue(TimePoint aNow) const;

  ClassQueue interactive;
  ClassQueue batch;
  std::map<TeamId, double> weights;
  std::size_t size = 0;
  std::uint64_t sinceBatch = 0;
};

} // namespace toucanshed
