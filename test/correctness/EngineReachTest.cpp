#include "coord/EngineReach.h"
#include "base/Random.h"
#include "coord/RelayChoice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace toucanshed::test {

namespace {

constexpr TimePoint kStart{ 100000 };

ReachCheck
MakeCheck(TimePoint aAt,
          const std::vector<std::pair<const char*, bool>>& aZones)
{
  ReachCheck check;
  check.startedAt = aAt;
  for (const auto& [zone, accepted] : aZones) {
    check.controls.push_back(
      ReachCheck::Control{ InstanceId{ std::string("engine-of-") + zone },
                           ZoneId{ zone },
                           accepted });
  }
  return check;
}

/** Candidates spread evenly over four failure domains, all reported idle. */
std::vector<RelayCandidate>
MakeCandidates(std::size_t aCount)
{
  constexpr std::size_t kZones = 4;
  std::vector<RelayCandidate> candidates;
  for (std::size_t i = 0; i < aCount; ++i) {
    RelayCandidate candidate;
    candidate.id = DaemonId{ "daemon-" + std::to_string(i) };
    candidate.zone = ZoneId{ "zone-" + std::to_string(i % kZones) };
    candidates.push_back(candidate);
  }
  return candidates;
}

} // namespace

TEST_CASE("a failure is the engine's only if its domain is reached")
{
  const ZoneId failed{ "a" };
  EngineReach reach;
  reach.RecordCheck(MakeCheck(kStart, { { "a", true }, { "b", true } }),
                    kStart);
  CHECK(reach.CauseOf(failed, true) == FailureCause::eEngine);
  reach.RecordCheck(MakeCheck(kStart, { { "a", false }, { "b", true } }),
                    kStart);
  CHECK(reach.CauseOf(failed, true) == FailureCause::eFailureDomain);
  CHECK_FALSE(reach.IsCut());
  CHECK(reach.RecordCheck(MakeCheck(kStart, { { "a", false }, { "b", false } }),
                          kStart));
  CHECK(reach.IsCut());
  CHECK(reach.CauseOf(failed, true) == FailureCause::eOwnPaths);
  // No daemon reaches engines, so they have failed.
  CHECK(reach.CauseOf(failed, false) == FailureCause::eEngine);
}

TEST_CASE("a check asks another engine of the failed one's domain first")
{
  std::map<InstanceId, Backend> backends;
  for (int i = 0; i < 12; ++i) {
    Backend backend;
    backend.entry.id = InstanceId{ "e" + std::to_string(i) };
    backend.entry.zone = ZoneId{ "zone-" + std::to_string(i % 6) };
    backend.lastProgressAt = TimePoint{ i };
    backends[backend.entry.id] = backend;
  }
  const Backend& failed = backends.at(InstanceId{ "e6" });
  const ReachCheck check = EngineReach::Plan(backends, &failed, kStart);
  REQUIRE(check.controls.size() == EngineReach::kMaxControls);
  CHECK(check.controls.front().engine == InstanceId{ "e0" });
  std::set<ZoneId> zones;
  for (const ReachCheck::Control& control : check.controls) {
    CHECK(control.engine != failed.entry.id);
    zones.insert(control.zone);
  }
  CHECK(zones.size() == check.controls.size());
}

// Guards against daemons that refuse their callers because the engines that
// they happened to ask have crashed.
TEST_CASE("a crash of many engines is not taken for a cut")
{
  constexpr std::size_t kZones = 4;
  constexpr std::size_t kEngines = 112;
  constexpr std::size_t kCrashed = 28;
  constexpr std::size_t kDaemons = 330;
  constexpr std::size_t kChecks = 30; // of each daemon, while they are down
  Random random(1);
  std::size_t cutDaemons = 0;
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
    std::map<InstanceId, Backend> backends;
    for (std::size_t i = 0; i < kEngines; ++i) {
      Backend backend;
      backend.entry.id = InstanceId{ "e" + std::to_string(i) };
      backend.entry.zone = ZoneId{ "zone-" + std::to_string(i % kZones) };
      backends[backend.entry.id] = backend;
    }
    std::set<InstanceId> crashed;
    while (crashed.size() < kCrashed) {
      crashed.insert(
        InstanceId{ "e" + std::to_string(random.NextBelow(kEngines)) });
    }
    EngineReach reach;
    for (std::size_t i = 0; i < kChecks && !reach.IsCut(); ++i) {
      // Those that have sent data last change from check to check.
      for (auto& [id, backend] : backends) {
        backend.lastProgressAt =
          TimePoint{ static_cast<std::int64_t>(random.NextBelow(kEngines)) };
      }
      const Backend& failed = backends.at(*crashed.begin());
      ReachCheck check = EngineReach::Plan(backends, &failed, kStart);
      if (reach.NeedsFurtherControls(check)) {
        EngineReach::AddFurtherControls(backends, &failed, random, check);
      }
      for (ReachCheck::Control& control : check.controls) {
        control.accepted = !crashed.contains(control.engine);
      }
      reach.RecordCheck(check, kStart);
    }
    cutDaemons += reach.IsCut() ? 1 : 0;
  }
  CHECK(cutDaemons == 0);
}

TEST_CASE("further engines are asked once none of the first accepts")
{
  Random random(1);
  std::map<InstanceId, Backend> backends;
  for (int i = 0; i < 14; ++i) {
    Backend backend;
    backend.entry.id = InstanceId{ "e" + std::to_string(i) };
    backend.entry.zone = ZoneId{ "zone-" + std::to_string(i % 2) };
    backends[backend.entry.id] = backend;
  }
  EngineReach reach;
  ReachCheck check = EngineReach::Plan(backends, nullptr, kStart);
  const std::size_t first = check.controls.size();
  REQUIRE(reach.NeedsFurtherControls(check));
  EngineReach::AddFurtherControls(backends, nullptr, random, check);
  CHECK(check.controls.size() == first + EngineReach::kMaxFurtherControls);
  std::set<InstanceId> engines;
  for (const ReachCheck::Control& control : check.controls) {
    engines.insert(control.engine);
  }
  CHECK(engines.size() == check.controls.size());
  check.controls.back().accepted = true;
  CHECK_FALSE(reach.NeedsFurtherControls(check));
  check.controls.back().accepted = false;
  reach.RecordCheck(check, kStart);
  // The end of a cut is looked for with the first engines alone.
  CHECK_FALSE(reach.NeedsFurtherControls(check));
}

// Guards against a daemon that goes back to engines in each gap of a cut.
TEST_CASE("a cut that returns ends only after more checks")
{
  EngineReach reach;
  TimePoint now = kStart;
  const auto record = [&](bool aAccepted) {
    now = now + Millis(250);
    return reach.RecordCheck(
      MakeCheck(now, { { "a", aAccepted }, { "b", aAccepted } }), now);
  };
  record(false);
  CHECK(record(true)); // the first cut ends at once
  record(false);
  CHECK_FALSE(record(true));
  CHECK_FALSE(record(false));
  CHECK_FALSE(record(true));
  CHECK(record(true));
  now = now + EngineReach::kFlapWindow;
  record(false);
  CHECK(record(true));
}

TEST_CASE("no data from any engine with requests calls for a check")
{
  EngineReach reach;
  std::map<InstanceId, Backend> backends;
  Backend& busy = backends[InstanceId{ "e1" }];
  busy.localLoad.running = 1;
  busy.lastProgressAt = kStart;
  backends[InstanceId{ "idle" }].lastProgressAt = TimePoint{ 1 };
  CHECK_FALSE(reach.NeedsCheck(backends, kStart + Millis(200)));
  CHECK(reach.NeedsCheck(backends, kStart + EngineReach::kNoDataTime));
  Backend& other = backends[InstanceId{ "e2" }];
  other.localLoad.running = 1;
  other.lastProgressAt = kStart + EngineReach::kNoDataTime;
  CHECK_FALSE(reach.NeedsCheck(backends, kStart + EngineReach::kNoDataTime));
}

// Guards against all requests of a cut failure domain going to a few daemons.
TEST_CASE("relayed requests spread over the daemons with room")
{
  for (const std::size_t daemons : { 7, 69, 330 }) {
    Random random(daemons);
    std::vector<RelayCandidate> candidates = MakeCandidates(daemons);
    // All daemons of one domain are cut off, and each relays what it gets.
    const ZoneId cut{ "zone-0" };
    const std::size_t senders = (daemons + 3) / 4;
    std::erase_if(candidates, [&](const RelayCandidate& aCandidate) {
      return aCandidate.zone == cut;
    });
    std::vector<RelayChoice> choices(senders);
    std::map<DaemonId, std::size_t> received;
    constexpr std::size_t kRequests = 100;
    for (std::size_t i = 0; i < kRequests * senders; ++i) {
      RelayChoice& choice = choices[i % senders];
      const auto chosen = choice.Choose(candidates, cut, true, random, kStart);
      REQUIRE(chosen);
      choice.RecordSend(chosen->id);
      ++received[chosen->id];
    }
    const double mean = static_cast<double>(kRequests * senders) /
                        static_cast<double>(candidates.size());
    INFO(daemons << " daemons");
    for (const auto& [id, count] : received) {
      CHECK(static_cast<double>(count) <= 2 * mean);
    }
    CHECK(received.size() == candidates.size());
  }
}

TEST_CASE("a daemon that refuses a relayed request gets none for a while")
{
  Random random(1);
  RelayChoice choice;
  const std::vector<RelayCandidate> candidates = MakeCandidates(2);
  choice.RecordRefusal(candidates.front().id, kStart);
  for (int i = 0; i < 20; ++i) {
    const auto chosen =
      choice.Choose(candidates, candidates.front().zone, true, random, kStart);
    REQUIRE(chosen);
    CHECK(chosen->id == candidates.back().id);
  }
}

} // namespace toucanshed::test
