// Pools for long and short prompts: their size and members, and what they are
// for, in a simulation of many daemons whose load reports are stale.
#include "coord/PromptPools.h"
#include "base/Random.h"
#include "coord/Catalog.h"
#include "coord/Placement.h"

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <queue>
#include <set>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };

void
PutEngines(BackendTable& aTable, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    BackendEntry entry;
    entry.id = InstanceId{ "e" + std::to_string(i) };
    entry.service = kService;
    entry.zone = ZoneId{ "a" };
    entry.slots = 32;
    aTable.Put(entry);
  }
}

std::set<InstanceId>
LongPoolOf(BackendTable& aTable)
{
  std::set<InstanceId> members;
  for (const Backend* engine : aTable.ForService(kService)) {
    if (engine->inLongPool) {
      members.insert(engine->entry.id);
    }
  }
  return members;
}

std::size_t
CountMissing(const std::set<InstanceId>& aFrom, const std::set<InstanceId>& aIn)
{
  return static_cast<std::size_t>(
    std::count_if(aFrom.begin(), aFrom.end(), [&](const InstanceId& aId) {
      return !aIn.contains(aId);
    }));
}

/** Daemons with one heartbeat a second, in front of engines that prefill one
 * prompt after the other. */
class StaleLoadSimulation
{
public:
  static constexpr std::size_t kDaemons = 79;
  static constexpr int kEngines = 60;
  static constexpr double kTokensPerMs = 80;
  static constexpr std::int64_t kHeartbeatMs = 12; // of some daemon
  static constexpr double kChatsPerMs = 2.4;
  static constexpr double kLettersPerMs = 0.15;
  static constexpr double kChatTargetMs = 400;
  static constexpr double kLetterTargetMs = 2000;
  static constexpr std::uint64_t kChatTokens = 600;
  static constexpr std::uint64_t kLetterTokens = 12000;

  struct Lateness
  {
    double chats = 0;
    double letters = 0;
  };

  /** \param aPooled with pools and the ages of reports, or as if each send were
   *   known at once */
  explicit StaleLoadSimulation(bool aPooled)
    : pooled(aPooled)
    , daemons(kDaemons)
  {
    this->traits.slots = 32;
    for (Daemon& daemon : this->daemons) {
      PutEngines(daemon.table, kEngines);
      daemon.engines = daemon.table.ForService(kService);
    }
  }

  /** \return the fraction of chats and letters that began late */
  Lateness Run(std::int64_t aMs)
  {
    constexpr std::int64_t kWarmUpMs = 4000; // speeds and averages settle
    for (this->now = 1; this->now <= aMs; ++this->now) {
      this->counting = this->now > kWarmUpMs;
      this->FinishDue();
      if (this->now % kHeartbeatMs == 0) {
        this->SendHeartbeat(static_cast<std::size_t>(this->now / kHeartbeatMs) %
                            kDaemons);
      }
      this->Arrive(kChatsPerMs, kChatTokens);
      this->Arrive(kLettersPerMs, kLetterTokens);
    }
    const auto share = [](const std::array<double, 2>& aCounts) {
      return aCounts[1] / aCounts[0];
    };
    return Lateness{ share(this->chats), share(this->letters) };
  }

private:
  struct Daemon
  {
    BackendTable table;
    std::vector<Backend*> engines; // of table
    Placer placer{ ZoneId{ "a" } };
    std::map<InstanceId, BackendLoad> reported;
  };
  /** A prompt whose prefill ends, or a request that ends. */
  struct Due
  {
    std::int64_t at = 0;
    std::size_t daemon = 0;
    Placement placement;
    std::int64_t sentAt = 0;
    bool ends = false;

    bool operator<(const Due& aOther) const { return this->at > aOther.at; }
  };

  void FinishDue()
  {
    constexpr std::int64_t kOutputMs = 400;
    while (!this->due.empty() && this->due.top().at <= this->now) {
      Due next = this->due.top();
      this->due.pop();
      Daemon& daemon = this->daemons[next.daemon];
      Backend* engine = daemon.table.Find(next.placement.backend);
      if (next.ends) {
        --engine->localLoad.running;
        continue;
      }
      const auto elapsed = static_cast<double>(this->now - next.sentAt);
      engine->localLoad.promptTokens -=
        static_cast<std::int64_t>(next.placement.uncachedTokens);
      engine->lastProgressAt = TimePoint{ this->now };
      daemon.placer.RecordResponseStart(next.placement, elapsed);
      daemon.table.RecordResponseStart(next.placement.backend,
                                       elapsed,
                                       next.placement.usualMs,
                                       next.placement.knowsQueue,
                                       TimePoint{ this->now });
      next.ends = true;
      next.at = this->now + kOutputMs;
      this->due.push(std::move(next));
    }
  }

  void SendHeartbeat(std::size_t aDaemon)
  {
    Daemon& sender = this->daemons[aDaemon];
    this->reportedSpeeds[aDaemon] = sender.placer.Speed().promptTokensPerMs;
    std::vector<double> speeds = this->reportedSpeeds;
    const auto median =
      speeds.begin() + static_cast<std::ptrdiff_t>(kDaemons / 2);
    std::nth_element(speeds.begin(), median, speeds.end());
    for (const auto& [id, load] : sender.reported) {
      this->total[id].running -= load.running;
      this->total[id].promptTokens -= load.promptTokens;
    }
    for (const Backend* engine : sender.engines) {
      sender.reported[engine->entry.id] = engine->localLoad;
      this->total[engine->entry.id].running += engine->localLoad.running;
      this->total[engine->entry.id].promptTokens +=
        engine->localLoad.promptTokens;
    }
    for (Daemon& daemon : this->daemons) {
      std::map<InstanceId, BackendLoad> others = this->total;
      for (const auto& [id, load] : daemon.reported) {
        others[id].running -= load.running;
        others[id].promptTokens -= load.promptTokens;
      }
      daemon.table.SetRemoteLoads(others, TimePoint{ this->now });
      if (this->pooled) {
        daemon.placer.AdoptSpeed(EngineSpeed{ *median, 0 });
      }
    }
  }

  void Arrive(double aPerMs, std::uint64_t aTokens)
  {
    double left = aPerMs;
    while (this->random.NextUnit() < left) {
      this->Send(this->random.NextBelow(kDaemons), aTokens);
      left -= 1;
    }
  }

  [[nodiscard]] std::optional<double> LongShare() const
  {
    constexpr std::size_t kMinRequests = 50; // fewer do not tell
    return this->sentRequests >= kMinRequests
             ? std::optional(this->sentLongTokens / this->sentTokens)
             : std::nullopt;
  }

  void Send(std::size_t aDaemon, std::uint64_t aTokens)
  {
    Daemon& daemon = this->daemons[aDaemon];
    const TimePoint at{ this->now };
    PlacementRequest request;
    request.prompt = { { "own", aTokens } };
    if (this->pooled) {
      constexpr std::int64_t kMeanAgeMs = 12 * kDaemons / 2;
      request.isLong = IsLongPrompt(static_cast<double>(aTokens),
                                    daemon.placer.AgreedTokensPerMs(),
                                    Millis(400));
      request.loadAge = LoadAge(Millis(kMeanAgeMs));
      request.spreadKey = this->random.Next();
      daemon.placer.UpdatePools(daemon.engines, this->LongShare(), at);
    }
    const auto placement =
      daemon.placer.Choose(daemon.engines, request, &this->traits, at);
    const auto tokens = static_cast<double>(aTokens);
    ++this->sentRequests;
    this->sentTokens += tokens;
    this->sentLongTokens += aTokens == kLetterTokens ? tokens : 0;
    Backend* engine = daemon.table.Find(placement->backend);
    engine->localLoad.running += 1;
    engine->localLoad.promptTokens += static_cast<std::int64_t>(aTokens);
    double& free = this->freeAt[placement->backend];
    free = std::max(free, static_cast<double>(this->now)) +
           static_cast<double>(aTokens) / kTokensPerMs;
    this->due.push(Due{ static_cast<std::int64_t>(std::ceil(free)),
                        aDaemon,
                        *placement,
                        this->now,
                        false });
    if (this->counting) {
      const bool isLetter = aTokens == kLetterTokens;
      std::array<double, 2>& counts = isLetter ? this->letters : this->chats;
      const double target = isLetter ? kLetterTargetMs : kChatTargetMs;
      counts[0] += 1;
      counts[1] += free - static_cast<double>(this->now) > target ? 1 : 0;
    }
  }

  bool pooled;
  bool counting = false;
  std::int64_t now = 0;
  Random random{ 5 };
  EngineTraits traits;
  std::vector<double> reportedSpeeds = std::vector<double>(kDaemons);
  std::size_t sentRequests = 0; // by all daemons
  double sentTokens = 0;
  double sentLongTokens = 0;
  std::vector<Daemon> daemons;
  std::map<InstanceId, BackendLoad> total; // of the latest reports
  std::map<InstanceId, double> freeAt;     // end of the last prefill
  std::priority_queue<Due> due;
  std::array<double, 2> chats{}; // all, and those that began late
  std::array<double, 2> letters{};
};

} // namespace

TEST_CASE("chats do not begin late behind other daemons' letters")
{
  // Guards against a chat that is sent behind letters which other daemons have
  // sent since their last heartbeat.
  const auto mixed = StaleLoadSimulation(false).Run(12000);
  const auto pooled = StaleLoadSimulation(true).Run(12000);
  std::cout << "late chats and letters, one pool: " << mixed.chats << ", "
            << mixed.letters << "; two pools: " << pooled.chats << ", "
            << pooled.letters << "\n";
  CHECK(pooled.chats < 0.01);
  CHECK(pooled.chats <= mixed.chats / 4);
  CHECK(pooled.letters <= mixed.letters + 0.02);
}

TEST_CASE("daemons that know different engines agree on the pools")
{
  // Guards against members that depend on a daemon's list order, and against a
  // pool that is dealt anew when an engine goes.
  constexpr int kEngines = 60;
  BackendTable one;
  BackendTable other;
  PutEngines(one, kEngines);
  PutEngines(other, kEngines);
  other.Remove(InstanceId{ "e7" }, std::nullopt);
  PromptPools pools;
  PromptPools otherPools;
  pools.Update(one.ForService(kService), 0.4, TimePoint{ 1000 });
  otherPools.Update(other.ForService(kService), 0.4, TimePoint{ 1000 });
  REQUIRE(pools.Active());
  const std::set<InstanceId> members = LongPoolOf(one);
  CHECK(std::abs(static_cast<int>(members.size()) - 24) <= 1);
  CHECK(CountMissing(members, LongPoolOf(other)) <= 1);
  CHECK(CountMissing(LongPoolOf(other), members) <= 1);
}

TEST_CASE("a pool's size changes seldom and keeps its members")
{
  BackendTable table;
  PutEngines(table, 64);
  const auto engines = table.ForService(kService);
  PromptPools pools;
  TimePoint now{ 1000 };
  pools.Update(engines, 0.25, now);
  const std::set<InstanceId> first = LongPoolOf(table);
  CHECK(first.size() == 16);
  // Noise in the share changes nothing.
  for (int i = 0; i < 100; ++i) {
    now = now + Millis(300);
    pools.Update(engines, i % 2 == 0 ? 0.235 : 0.265, now);
    CHECK(LongPoolOf(table) == first);
  }
  // A lasting change is followed in steps that keep all members.
  std::size_t changes = 0;
  std::set<InstanceId> last = first;
  for (int i = 0; i < 100; ++i) {
    now = now + Millis(300);
    pools.Update(engines, 0.5, now);
    const std::set<InstanceId> members = LongPoolOf(table);
    CHECK(CountMissing(last, members) == 0);
    changes += members == last ? 0 : 1;
    last = members;
  }
  CHECK(last.size() == 32);
  CHECK(changes == 2);
}

TEST_CASE("a pool without enough engines is not formed")
{
  BackendTable table;
  PutEngines(table, 6);
  const auto engines = table.ForService(kService);
  const auto isActive = [&](std::optional<double> aShare) {
    PromptPools pools;
    pools.Update(engines, aShare, TimePoint{ 1000 });
    return pools.Active();
  };
  CHECK(isActive(0.5));
  for (const double share : { 0.0, 0.1, 0.95, -3.0, 1e12, std::nan("") }) {
    CHECK_FALSE(isActive(share));
  }
  CHECK_FALSE(isActive(std::nullopt));
}

TEST_CASE("a request leaves its pool when the other is much better")
{
  BackendTable table;
  PutEngines(table, 12);
  const auto engines = table.ForService(kService);
  EngineTraits traits;
  Placer placer{ ZoneId{ "a" } };
  const TimePoint now{ 1000 };
  placer.UpdatePools(engines, 0.5, now);
  const auto isInLongPool = [&](std::uint64_t aTokens, bool aIsLong) {
    PlacementRequest request;
    request.prompt = { { "own", aTokens } };
    request.isLong = aIsLong;
    const auto placed = placer.Choose(engines, request, &traits, now);
    return table.Find(placed->backend)->inLongPool;
  };
  CHECK_FALSE(isInLongPool(600, false));
  CHECK(isInLongPool(12000, true));
  for (Backend* engine : engines) {
    engine->remoteLoad.running = 4;
    engine->remoteLoad.promptTokens = engine->inLongPool ? 24000 : 0;
  }
  CHECK(isInLongPool(12000, true)); // 0.6 s ahead; would delay four requests
  for (Backend* engine : engines) {
    engine->remoteLoad.promptTokens = engine->inLongPool ? 96000 : 0;
  }
  CHECK_FALSE(isInLongPool(12000, true));
  // The pool is full, and the other one has room.
  for (Backend* engine : engines) {
    engine->remoteLoad.promptTokens = 0;
    engine->remoteLoad.running = engine->inLongPool ? 40 : 4;
  }
  CHECK_FALSE(isInLongPool(12000, true));
}

TEST_CASE("long prompts are those that take much of a target")
{
  CHECK(IsLongPrompt(12000, 80, Millis(400)));
  CHECK_FALSE(IsLongPrompt(600, 80, Millis(400)));
  CHECK_FALSE(IsLongPrompt(12000, 80, Millis(0)));
  CHECK_FALSE(IsLongPrompt(12000, 0, Millis(400)));
  Catalog catalog;
  for (const int target : { 2000, 0, 400 }) {
    Route route;
    route.latencyTarget = Millis(target);
    route.targets = { RouteTarget{ kService, 1 } };
    catalog.routes.push_back(route);
  }
  CHECK(SmallestTarget(catalog, kService) == Millis(400));
  CHECK(SmallestTarget(catalog, ServiceId{ "other" }) == Millis(0));
}

} // namespace toucanshed::test
