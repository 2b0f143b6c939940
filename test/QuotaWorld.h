/** \file
 * Daemons that share one team's limit by words, in logical time.
 */
#pragma once

#include "base/Random.h"
#include "coord/Catalog.h"
#include "coord/QuotaExchange.h"
#include "coord/TeamQuotas.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace toucanshed::test {

/** What the network does to words. */
struct WordLoss
{
  double lost = 0;    // part of them
  Millis latest{ 3 }; // the latest arrive after this
};

/** What is asked of the team's limit. */
struct QuotaLoad
{
  double perS = 0; // the team's units
  double cost = 1; // of one request
};

/** What callers saw. */
struct QuotaCounts
{
  double asked = 0;
  double passed = 0;
  double mostInWindow = 0; // passed within any 8 s
};

class QuotaWorld
{
public:
  static constexpr Millis kWindow{ 8000 };

  /** \param aRate of the team, each second; its burst is one second of it. */
  QuotaWorld(std::size_t aDaemons, double aRate, WordLoss aLoss);

  /** Plays requests, each to a daemon chosen at random. */
  void Play(Millis aFor, QuotaLoad aLoad);
  /** All processes die at once and are back aAfter later, one after the other
   * within aSpread, knowing nothing but who the others are. */
  void KillAll(Millis aAfter, Millis aSpread);
  /** One process dies and is back aAfter later. */
  void Kill(std::size_t aDaemon, Millis aAfter);
  /** No words pass between aGroup and the others. */
  void CutOff(std::set<std::size_t> aGroup, bool aFromStore);
  /** Counts from here on. */
  void ResetCounts();

  [[nodiscard]] const QuotaCounts& Counts() const { return this->counts; }
  /** What a window may hold at most. */
  [[nodiscard]] double Allowed() const;
  /** Between two regular words of a daemon. */
  [[nodiscard]] Millis Interval() const;

private:
  struct Daemon
  {
    std::unique_ptr<TeamQuotas> quotas;
    std::unique_ptr<QuotaExchange> exchange;
    TimePoint upAt;
    std::uint64_t life = 1;
    TimePoint wordAt;
    std::size_t wordPart = 0;
    bool up = false;
  };
  struct Word
  {
    std::size_t to = 0;
    serving::QuotaWord word;
    QuotaTelling telling = QuotaTelling::eAtOnce;
  };
  struct Passed
  {
    TimePoint at;
    double cost = 0;
  };

  void Step();
  void Start(std::size_t aDaemon);
  void Speak(std::size_t aDaemon);
  void Ask(std::size_t aDaemon, double aCost);
  void Send(std::size_t aFrom,
            std::size_t aTo,
            const serving::QuotaWord& aWord,
            QuotaTelling aTelling);
  void Deliver();
  void Refresh(Daemon& aDaemon);
  void Count(double aCost);
  [[nodiscard]] serving::QuotaWord WordOf(std::size_t aDaemon) const;
  [[nodiscard]] bool Separated(std::size_t aOne, std::size_t aOther) const;

  Catalog catalog;
  QuotaTolerance tolerance;
  WordLoss loss;
  TimePoint now{ 1000 };
  std::vector<Daemon> daemons;
  std::multimap<TimePoint, Word> onTheWay;
  std::set<std::size_t> cutOff;
  bool cutFromStore = false;
  double owed = 0; // of the load, until it makes a whole request
  Random random{ 7 };
  QuotaCounts counts;
  std::deque<Passed> lately;
  double latelySum = 0;
};

} // namespace toucanshed::test
