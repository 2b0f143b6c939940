/** \file
 * The requests of one service that wait at this daemon for an engine.
 */
#pragma once

#include "StartRate.h"
#include "TeamOrder.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace toucanshed {

/** Why a waiting request is next. */
enum class StartTurn
{
  eInOrder,
  eOverdue, // its priority has waited for too long
};

/** A request that may start. */
struct QueueStart
{
  QueueTicket ticket;
  StartTurn turn = StartTurn::eInOrder;
};

struct QueuePush
{
  /** Nothing when the queue is full and the request is not accepted. */
  std::optional<QueueTicket> ticket;
  /** A request that was removed in its favour, and must be rejected. */
  std::optional<QueueTicket> evicted;
};

/** Why a waiting request should be rejected. */
enum class QueueRejection
{
  eDeadline, // it cannot begin before its deadline
  eTarget,   // it cannot begin on time, but its caller's retry may
};

/**
 * Orders waiting requests by priority, then by fair share between teams, then
 * by least slack. So that later priorities are not starved, one start in
 * kStarvationInterval of a priority goes to the next one that waits, once a
 * request there has waited for half of the time for which it may. If it went to
 * the least urgent one at once, that one could be served more often than those
 * between them.
 *
 * It only orders. Whether a request may start now is the caller's decision, by
 * a hook, since it depends on the engines.
 *
 * Thread safety: none; the owner serialises. Times may not go back.
 */
class RequestQueue
{
public:
  /** Bounds the memory and the cost of a decision. */
  static constexpr std::size_t kMaxWaiting = 256;
  static constexpr unsigned kStarvationInterval = 8;
  /** Requests of one priority that the hook is asked about in one call. When so
   * many cannot start, engines have no room for that priority. */
  static constexpr std::size_t kMaxTries = 4;
  /** A caller's retry comes within this fraction of the time it has left. */
  static constexpr double kRetryFraction = 0.25;
  /** Limit of expected waits. */
  static constexpr Millis kMaxWait{ 60000 };

  using CanStart = std::function<bool(QueueTicket, StartTurn)>;

  /** Adds a request. A full queue removes the last request of the team that
   * has the most waiting at the least urgent priority; that may be the new one.
   * A priority out of range is limited. */
  QueuePush Push(WaitingRequest aRequest, TimePoint aNow);
  /** Removes and returns the next request that aCanStart accepts; the caller
   * starts it. Nothing when there is none. */
  std::optional<QueueStart> Next(TimePoint aNow, const CanStart& aCanStart);
  /** Removes a request that no longer waits. \return whether it was waiting */
  bool Remove(QueueTicket aTicket, TimePoint aNow);
  /** Whether the caller should reject the request now; nothing when it should
   * go on waiting or is unknown. */
  [[nodiscard]] std::optional<QueueRejection> ShouldReject(
    QueueTicket aTicket,
    TimePoint aNow) const;
  /** Expected time until a further request of the team and priority starts; 0
   * while the rate of starts is unknown. */
  [[nodiscard]] Millis ExpectedWait(int aPriority,
                                    const TeamId& aTeam,
                                    TimePoint aNow) const;
  /** Expected time until the waiting request starts; 0 while unknown. */
  [[nodiscard]] Millis ExpectedWait(QueueTicket aTicket, TimePoint aNow) const;
  /** Number of waiting requests by priority and team. */
  [[nodiscard]] std::map<std::pair<int, TeamId>, std::size_t> Waiting() const;
  /** Number of waiting requests of one priority. */
  [[nodiscard]] std::size_t WaitingAt(int aPriority) const;
  [[nodiscard]] std::size_t Size() const { return this->tickets.size(); }

private:
  struct Place
  {
    int priority = 0;
    TeamId team;
  };

  /** Takes the first request of the priority that may start. */
  std::optional<QueueStart> TakeFrom(int aPriority,
                                     StartTurn aTurn,
                                     TimePoint aNow,
                                     const CanStart& aCanStart);
  /** The priorities that wait, the most urgent first. */
  [[nodiscard]] std::vector<int> WaitingPriorities() const;
  /** Whether the start belongs to this waiting priority instead of the next
   * more urgent one. */
  [[nodiscard]] bool IsOverdue(int aPriority, TimePoint aNow) const;
  /** Counts a start of a priority towards the next one that waits. */
  void CountStart(int aPriority, const std::vector<int>& aWaiting);
  TeamOrder::Item Take(QueueTicket aTicket);
  [[nodiscard]] const TeamOrder::Item* Find(QueueTicket aTicket) const;
  /** \param aAhead starts of the priority itself before the request */
  [[nodiscard]] Millis WaitFor(int aPriority,
                               double aAhead,
                               TimePoint aNow) const;

  /** Some may be empty; they keep the order of their teams. */
  std::map<int, TeamOrder> priorities;
  std::map<QueueTicket, Place> tickets;
  std::uint64_t lastTicket = 0;
  /** Starts of more urgent requests, by the waiting priority that was next,
   * since that one was overdue. */
  std::array<unsigned, kPriorityCount> startsBefore{};
  StartRate rate;
};

} // namespace toucanshed
