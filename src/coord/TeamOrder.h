/** \file
 * The waiting requests of one priority, in fair order between teams.
 */
#pragma once

#include "WaitingRequest.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

/**
 * Start-time fair queueing: each team has a virtual time that advances by cost
 * over weight with each of its starts, and the team that is furthest behind is
 * next. A team without waiting requests gets no credit for that time. Within a
 * team, the request with the least slack is next.
 *
 * Thread safety: none; the owner serialises.
 */
class TeamOrder
{
public:
  struct Item
  {
    QueueTicket ticket;
    WaitingRequest request;
    TimePoint pushed;
  };

  void Push(const Item& aItem);
  /** \return the removed item; nothing when the ticket is unknown */
  std::optional<Item> Remove(const TeamId& aTeam, QueueTicket aTicket);
  /** Accounts for a start, after the request was removed. */
  void RecordStart(const WaitingRequest& aRequest);
  /** The next item of each team, the team that is next first. The pointers are
   * valid until the next change. */
  [[nodiscard]] std::vector<const Item*> NextOfTeams(TimePoint aNow) const;
  /** The last item of the team with the most waiting requests by weight.
   * Precondition: not empty. */
  [[nodiscard]] const Item& LastOfLongest(TimePoint aNow) const;
  [[nodiscard]] const Item* Find(const TeamId& aTeam,
                                 QueueTicket aTicket) const;
  /** Whether a request has waited for half of the time for which it may. */
  [[nodiscard]] bool HasOverdue(TimePoint aNow) const;
  /** Starts of this priority before that of a waiting request, if no further
   * ones arrive. */
  [[nodiscard]] double CountAhead(const Item& aItem, TimePoint aNow) const;
  /** The same for a further request of the team, with weight 1 if it is
   * unknown. */
  [[nodiscard]] double CountAhead(const TeamId& aTeam) const;
  [[nodiscard]] std::size_t Size() const { return this->size; }
  [[nodiscard]] std::map<TeamId, std::size_t> CountByTeam() const;

private:
  struct Team
  {
    std::vector<Item> items;
    double weight = 1;
    double virtualStart = 0; // start tag of its next request
  };

  /** Requests of other teams that start before one with the start tag.
   * \param aIsTieAhead whether a team's next request precedes it at an equal
   *   tag */
  [[nodiscard]] double CountOthersAhead(
    const TeamId& aTeam,
    double aStartTag,
    const std::function<bool(const Team&)>& aIsTieAhead) const;
  /** Forgets the teams without requests whose virtual time has been reached. */
  void ForgetIdleTeams();

  std::map<TeamId, Team> teams;
  double virtualTime = 0; // start tag of the latest start
  std::size_t size = 0;
};

} // namespace toucanshed
