#include "coord/TeamQuotas.h"
#include "coord/Catalog.h"
#include "coord/PeerTable.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr double kRate = 1000;
constexpr double kBurst = 1000;
constexpr std::size_t kNobody = 99; // no daemon is cut off

Catalog
OneTeam()
{
  Team team;
  team.id = TeamId{ "team-one" };
  team.ratePerSecond = kRate;
  team.burst = kBurst;
  Catalog catalog;
  catalog.teams.push_back(team);
  return catalog;
}

/** Daemons that exchange words every 150 ms of logical time. */
struct QuotaWorld
{
  explicit QuotaWorld(std::size_t aDaemons)
    : catalog(OneTeam())
    , quotas(aDaemons, TeamQuotas(QuotaTolerance{}))
    , peers(aDaemons, PeerTable(DaemonId{ "nobody" }))
  {
    for (TeamQuotas& quota : this->quotas) {
      quota.Configure(this->catalog, this->now);
    }
    this->Exchange(kNobody);
  }

  void Exchange(std::size_t aCutOff)
  {
    for (std::size_t i = 0; i < this->quotas.size(); ++i) {
      for (std::size_t j = 0; j < this->quotas.size(); ++j) {
        const bool reached = i != j && i != aCutOff && j != aCutOff;
        if (reached) {
          this->Tell(i, j);
        }
      }
    }
    for (std::size_t i = 0; i < this->quotas.size(); ++i) {
      this->CountOthers(i);
    }
  }

  void CountOthers(std::size_t aAt)
  {
    for (const auto& [team, taken] : this->peers[aAt].TakeQuotaUse(this->now)) {
      this->quotas[aAt].TakenElsewhere(team, taken, this->now);
    }
  }

  void Tell(std::size_t aFrom, std::size_t aTo)
  {
    serving::DaemonWord word;
    word.set_id("daemon-" + std::to_string(aFrom));
    word.set_life(1);
    word.set_sequence(static_cast<std::uint64_t>(this->now.ms));
    for (const auto& [team, taken] : this->quotas[aFrom].Taken()) {
      auto* entry = word.add_teams();
      entry->set_team(team.value);
      entry->set_taken(taken);
    }
    this->peers[aTo].Hear(word, this->now);
  }

  /** Each daemon is asked for aCost by turns every aEvery.
   * \return what all let through together. */
  double Play(Millis aFor, Millis aEvery, double aCost, std::size_t aCutOff)
  {
    constexpr Millis kWord{ 150 };
    double passed = 0;
    std::size_t turn = 0;
    const TimePoint end = this->now + aFor;
    TimePoint nextWord = this->now + kWord;
    TimePoint nextRequest = this->now + aEvery;
    while (this->now < end) {
      this->now = std::min(nextWord, nextRequest);
      if (this->now == nextWord) {
        nextWord = nextWord + kWord;
        this->Exchange(aCutOff);
        continue;
      }
      nextRequest = nextRequest + aEvery;
      const std::size_t at = turn++ % this->quotas.size();
      TeamQuotas& quota = this->quotas[at];
      this->CountOthers(at);
      if (!quota.Take(this->catalog.teams[0], aCost, this->now)) {
        passed += aCost;
      }
    }
    return passed;
  }

  Catalog catalog;
  TimePoint now{ 1000 };
  std::vector<TeamQuotas> quotas;
  std::vector<PeerTable> peers;
};

} // namespace

TEST_CASE("a team below its limit is never refused, however large its requests")
{
  // Seven daemons; the team asks nine tenths of its limit in pieces of 300,
  // each more than twice the seventh part of its burst.
  QuotaWorld world(7);
  const double cost = 300;
  const auto every =
    Millis(static_cast<std::int64_t>(cost / (0.9 * kRate) * 1000));
  const Millis time{ 30000 };
  const double passed = world.Play(time, every, cost, kNobody);
  const auto asked = static_cast<double>(time / every) * cost;
  CHECK(passed >= asked - cost);
}

TEST_CASE("a flood passes what the limit allows and little more")
{
  QuotaWorld world(7);
  const double passed = world.Play(Millis(8000), Millis(5), 100, kNobody);
  const double allowed = kRate * 8 + kBurst;
  CHECK(passed <= allowed * 1.1);
  CHECK(passed >= allowed * 0.85);
}

TEST_CASE("a daemon that is cut off keeps to its last part")
{
  // Two seconds into a flood one daemon hears nobody any more, and nobody
  // hears it. It must not take the whole limit for itself, since the others
  // serve on; they in turn go on counting it for some seconds.
  QuotaWorld world(7);
  world.Play(Millis(4000), Millis(5), 50, kNobody);
  const double passed = world.Play(Millis(5000), Millis(5), 50, 3);
  CHECK(passed <= (kRate * 5 + kBurst) * 1.1);
  // The frozen guesses are off by what their averages were off when the words
  // stopped, at this demand by up to a third.
  CHECK(passed >= kRate * 5 * 0.6);
}

TEST_CASE("daemons that all start again do not give a team's burst out again")
{
  // A team floods and its limit holds it. All daemons are killed and start with
  // new buckets; the team must not get the burst a second time on top of what
  // it has had within the same window.
  QuotaWorld before(7);
  const double first = before.Play(Millis(4000), Millis(5), 50, kNobody);
  QuotaWorld after(7);
  const double second = after.Play(Millis(4000), Millis(5), 50, kNobody);
  CHECK(first + second <= (kRate * 8 + kBurst) * 1.1);
}

TEST_CASE("a daemon that starts again counts from its start")
{
  QuotaWorld world(2);
  world.Play(Millis(3000), Millis(10), 50, kNobody);
  serving::DaemonWord word;
  word.set_id("daemon-1");
  word.set_life(2);
  word.set_sequence(1);
  auto* entry = word.add_teams();
  entry->set_team("team-one");
  entry->set_taken(70);
  world.peers[0].Hear(word, world.now);
  const auto news = world.peers[0].TakeQuotaUse(world.now);
  CHECK(news.at(TeamId{ "team-one" }) == Approx(70));
}

} // namespace toucanshed::test
