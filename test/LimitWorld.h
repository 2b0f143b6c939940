/** \file
 * Daemons that share the limits of engines in need by words, in logical time.
 */
#pragma once

#include "base/Random.h"
#include "coord/EngineLimits.h"
#include "coord/LimitSharers.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanshed::test {

/** What the network does to words between daemons. */
struct LimitNet
{
  double lost = 0;    // part of them
  Millis latest{ 5 }; // the latest arrive after this
};

class LimitWorld
{
public:
  /** A daemon is excused for so long after it started, woke or was cut, and so
   * long after it first named its limit an engine may have got more. */
  static constexpr Millis kContact{ 3000 };
  /** Limits are judged over this long. */
  static constexpr Millis kWindow{ 4000 };

  LimitWorld(std::size_t aDaemons, std::size_t aEngines, LimitNet aNet);

  /** Plays requests, each to a daemon and an engine chosen at random; one that
   * may not be sent there is tried at the other engines. */
  void Play(Millis aFor, double aRequestsPerS);
  /** The engine names a limit from here on; nothing: none. */
  void SetLimit(std::size_t aEngine, std::optional<double> aPerS);
  /** All processes die and are back within aSpread. */
  void KillAll(Millis aSpread);
  /** One process stops for so long and goes on as if nothing had happened. */
  void Freeze(std::size_t aDaemon, Millis aFor);
  /** No words pass between aGroup and the others. */
  void CutOff(std::set<std::size_t> aGroup);

  /** The most that an engine got in a window, as a part of what the window
   * allowed: one and a half times the highest limit named in it, and 5. */
  [[nodiscard]] double MostUsed() const { return this->mostUsed; }
  /** Requests that the engine got since this was last asked. */
  std::size_t TakeArrived(std::size_t aEngine);
  /** Daemons that hold the engine to a limit. */
  [[nodiscard]] std::size_t Knowing(std::size_t aEngine) const;

private:
  struct Daemon
  {
    std::unique_ptr<LimitSharers> sharers;
    std::unique_ptr<EngineLimits> limits;
    TimePoint excusedUntil;
    TimePoint awakeAt;
    TimePoint wordAt;
    std::optional<TimePoint> urgentAt;
    std::size_t wordPart = 0;
    std::uint64_t life = 0;
  };
  struct Word
  {
    std::size_t from = 0;
    std::size_t to = 0;
    bool regular = false;
    std::vector<LimitNews> news;
  };
  struct Answer
  {
    std::size_t daemon = 0;
    std::uint64_t life = 0;
    std::size_t engine = 0;
  };
  struct Engine
  {
    InstanceId id;
    std::optional<double> limit;
    std::optional<TimePoint> firstNamed;
    std::deque<TimePoint> counted;                        // arrivals
    std::deque<std::pair<TimePoint, double>> namedLately; // with the limit
    std::size_t arrived = 0;
  };

  void Step();
  void Start(std::size_t aDaemon);
  void Speak(std::size_t aDaemon);
  void Send(std::size_t aFrom, std::size_t aTo, Word aWord);
  void Deliver();
  void Request();
  bool TrySend(std::size_t aDaemon, std::size_t aEngine);
  void Arrive(std::size_t aDaemon, std::size_t aEngine);
  [[nodiscard]] bool Awake(std::size_t aDaemon) const
  {
    return this->daemons[aDaemon].awakeAt <= this->now;
  }

  LimitNet net;
  TimePoint now{ 100000 };
  std::vector<Daemon> daemons;
  std::vector<Engine> engines;
  std::multimap<TimePoint, Word> words;
  std::multimap<TimePoint, Answer> answers;
  std::set<std::size_t> cutOff;
  double owed = 0; // of the load, until it makes a whole request
  double mostUsed = 0;
  Random random{ 11 };
};

} // namespace toucanshed::test
