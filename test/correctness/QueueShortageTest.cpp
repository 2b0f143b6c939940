#include "base/Random.h"
#include "coord/RequestQueue.h"
#include "coord/RetryWindow.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <vector>

namespace toucanshed::test {
namespace {

constexpr int kPriorities = 3;
constexpr std::size_t kTeams = 16;
constexpr std::size_t kSlots = 10;
constexpr double kArrivalsPerMs = 0.25; // twice what the slots can serve
constexpr std::uint64_t kMinServiceMs = 40;
constexpr std::uint64_t kMaxServiceMs = 120;

/** Requests and starts of them. */
struct Served
{
  double requests = 0;
  double starts = 0;

  [[nodiscard]] double Fraction() const
  {
    return this->requests == 0 ? 1 : this->starts / this->requests;
  }
};

/** Callers whose requests one daemon sends to the slots of one engine. Team 0
 * sends seven times as much as each other one. Rejected callers retry until
 * their deadline. */
class ShortageSimulation
{
public:
  /** \param aQueued whether requests wait in a RequestQueue; if not, those that
   *   find the engine full are rejected */
  explicit ShortageSimulation(bool aQueued)
    : queued(aQueued)
  {
  }

  void Run(Millis aDuration)
  {
    const TimePoint end = this->now + aDuration;
    for (; this->now < end; this->now = this->now + Millis(1)) {
      std::erase_if(this->runningUntil,
                    [&](TimePoint aEnd) { return aEnd <= this->now; });
      this->StartWaiting();
      if (this->random.NextUnit() < kArrivalsPerMs) {
        this->AddCaller();
      }
      const auto due = this->retries.extract(this->now);
      if (!due.empty()) {
        for (const std::size_t caller : due.mapped()) {
          this->Attempt(caller);
        }
      }
      this->RejectWaiting();
      this->StartWaiting();
      this->CountIdle();
    }
  }

  [[nodiscard]] Served OfPriority(int aPriority) const
  {
    Served sum;
    for (std::size_t team = 0; team < kTeams; ++team) {
      const Served& part = this->Of(aPriority, team);
      sum.requests += part.requests;
      sum.starts += part.starts;
    }
    return sum;
  }
  [[nodiscard]] const Served& Of(int aPriority, std::size_t aTeam) const
  {
    return this->served[static_cast<std::size_t>(aPriority)][aTeam];
  }
  /** Fraction of the time in which a slot is free and a request waits. */
  [[nodiscard]] double IdleFraction() const { return this->idleMs / this->ms; }
  /** Mean fraction of the slots in use. */
  [[nodiscard]] double Utilisation() const { return this->usedMs / this->ms; }

private:
  struct Caller
  {
    int priority = 0;
    std::size_t team = 0;
    TimePoint deadline;
  };

  void AddCaller()
  {
    constexpr std::array<Millis, kPriorities> kTimeouts{ Millis(3000),
                                                         Millis(5000),
                                                         Millis(10000) };
    constexpr std::size_t kFloodWeight = 7;
    const double kind = this->random.NextUnit();
    Caller caller;
    caller.priority = kind < 0.4 ? 0 : (kind < 0.7 ? 1 : 2);
    const std::uint64_t point =
      this->random.NextBelow(kTeams - 1 + kFloodWeight);
    caller.team = point < kFloodWeight ? 0 : point - kFloodWeight + 1;
    caller.deadline =
      this->now + kTimeouts[static_cast<std::size_t>(caller.priority)];
    this->callers.push_back(caller);
    ++this->served[static_cast<std::size_t>(caller.priority)][caller.team]
        .requests;
    this->Attempt(this->callers.size() - 1);
  }

  void Attempt(std::size_t aCaller)
  {
    const Caller& caller = this->callers[aCaller];
    if (!this->queued) {
      // The engine's own queue takes a tenth of its slots.
      constexpr std::size_t kFull = kSlots + kSlots / 10;
      if (this->runningUntil.size() < kFull) {
        this->Start(aCaller);
      } else {
        this->Reject(aCaller);
      }
      return;
    }
    constexpr std::array<Millis, kPriorities> kTargets{ Millis(400),
                                                        Millis(600),
                                                        Millis(2000) };
    WaitingRequest request;
    request.priority = caller.priority;
    request.team = TeamId{ std::to_string(caller.team) };
    request.arrived = this->now;
    request.deadline = caller.deadline;
    request.target = kTargets[static_cast<std::size_t>(caller.priority)];
    const QueuePush push = this->queue.Push(request, this->now);
    if (push.evicted) {
      this->Reject(this->waiting.extract(*push.evicted).mapped());
    }
    if (!push.ticket) {
      this->Reject(aCaller);
      return;
    }
    this->waiting[*push.ticket] = aCaller;
    this->StartWaiting();
    if (this->waiting.contains(*push.ticket)) {
      this->RejectIfDue(*push.ticket);
    }
  }

  void StartWaiting()
  {
    while (this->runningUntil.size() < kSlots) {
      const auto start = this->queue.Next(
        this->now, [](QueueTicket, StartTurn) { return true; });
      if (!start) {
        return;
      }
      this->Start(this->waiting.extract(start->ticket).mapped());
    }
  }

  void RejectIfDue(QueueTicket aTicket)
  {
    if (this->queue.ShouldReject(aTicket, this->now)) {
      this->queue.Remove(aTicket, this->now);
      this->Reject(this->waiting.extract(aTicket).mapped());
    }
  }

  void RejectWaiting()
  {
    constexpr std::int64_t kCheckInterval = 40;
    if (this->now.ms % kCheckInterval != 0) {
      return;
    }
    std::vector<QueueTicket> tickets;
    for (const auto& [ticket, caller] : this->waiting) {
      tickets.push_back(ticket);
    }
    for (const QueueTicket ticket : tickets) {
      this->RejectIfDue(ticket);
    }
  }

  void Start(std::size_t aCaller)
  {
    const Caller& caller = this->callers[aCaller];
    ++this->served[static_cast<std::size_t>(caller.priority)][caller.team]
        .starts;
    const std::uint64_t ms =
      kMinServiceMs + this->random.NextBelow(kMaxServiceMs - kMinServiceMs);
    this->runningUntil.push_back(this->now +
                                 Millis(static_cast<std::int64_t>(ms)));
  }

  void Reject(std::size_t aCaller)
  {
    const Caller& caller = this->callers[aCaller];
    const Millis left = caller.deadline - this->now;
    RetryWindow window{ Millis(150), Millis(750) };
    if (this->queued) {
      window = RetryWindow::Of(
        static_cast<std::size_t>(caller.priority),
        this->queue.ExpectedWait(
          caller.priority, TeamId{ std::to_string(caller.team) }, this->now),
        left);
    }
    const auto width = window.latest - window.earliest;
    const auto jitter = Millis(static_cast<std::int64_t>(this->random.NextBelow(
      static_cast<std::uint64_t>(std::max<std::int64_t>(1, width.count())))));
    const Millis delay =
      std::min(window.earliest + jitter, std::max(Millis(1), left / 4));
    if (left > Millis(20)) {
      this->retries[this->now + delay].push_back(aCaller);
    }
  }

  void CountIdle()
  {
    const bool anyWaits = !this->waiting.empty() || !this->retries.empty();
    const bool anyFree = this->runningUntil.size() < kSlots;
    const bool queueWaits = this->queued ? !this->waiting.empty() : anyWaits;
    this->idleMs += anyFree && queueWaits ? 1 : 0;
    this->usedMs +=
      static_cast<double>(std::min(this->runningUntil.size(), kSlots)) /
      static_cast<double>(kSlots);
    ++this->ms;
  }

  bool queued;
  Random random{ 20 };
  TimePoint now{ 1000 };
  RequestQueue queue;
  std::vector<Caller> callers;
  std::map<QueueTicket, std::size_t> waiting;
  std::map<TimePoint, std::vector<std::size_t>> retries;
  std::vector<TimePoint> runningUntil;
  std::array<std::array<Served, kTeams>, kPriorities> served;
  double idleMs = 0;
  double usedMs = 0;
  double ms = 0;
};

/** The smallest ratio of a team's starts to its max-min fair share of the
 * priority's starts. */
double
LeastOfFairShare(const ShortageSimulation& aSimulation, int aPriority)
{
  double left = aSimulation.OfPriority(aPriority).starts;
  std::vector<Served> teams;
  for (std::size_t team = 0; team < kTeams; ++team) {
    teams.push_back(aSimulation.Of(aPriority, team));
  }
  std::sort(
    teams.begin(), teams.end(), [](const Served& aLeft, const Served& aRight) {
      return aLeft.requests < aRight.requests;
    });
  double least = 1;
  for (std::size_t i = 0; i < kTeams; ++i) {
    const double fair =
      std::min(teams[i].requests, left / static_cast<double>(kTeams - i));
    left -= fair;
    least = std::min(least, fair > 0 ? teams[i].starts / fair : 1);
  }
  return least;
}

void
Print(const char* aName, const ShortageSimulation& aSimulation)
{
  std::cout << aName << ": served";
  for (int priority = 0; priority < kPriorities; ++priority) {
    std::cout << ' ' << aSimulation.OfPriority(priority).Fraction();
  }
  std::cout << ", least of fair share";
  for (int priority = 0; priority < kPriorities; ++priority) {
    std::cout << ' ' << LeastOfFairShare(aSimulation, priority);
  }
  std::cout << ", idle while waiting " << aSimulation.IdleFraction()
            << ", slots in use " << aSimulation.Utilisation() << '\n';
}

} // namespace

// Guards against urgent requests being served less often than others, and small
// teams less than their share, while there is room for half of what is wanted.
TEST_CASE("a queue in a shortage serves by priority and fair share")
{
  ShortageSimulation rejecting(false);
  rejecting.Run(Millis(60000));
  Print("rejected when full", rejecting);
  ShortageSimulation simulation(true);
  simulation.Run(Millis(60000));
  Print("queued", simulation);
  for (int priority = 1; priority < kPriorities; ++priority) {
    CHECK(simulation.OfPriority(priority - 1).Fraction() >=
          simulation.OfPriority(priority).Fraction() - 0.05);
  }
  for (int priority = 0; priority < kPriorities; ++priority) {
    CHECK(LeastOfFairShare(simulation, priority) >= 0.9);
    CHECK(simulation.OfPriority(priority).starts > 0);
  }
  for (std::size_t team = 0; team < kTeams; ++team) {
    CHECK(simulation.Of(kPriorities - 1, team).starts > 0);
  }
  CHECK(simulation.IdleFraction() <= 0.05);
  CHECK(simulation.Utilisation() >= 0.95);
}

} // namespace toucanshed::test
