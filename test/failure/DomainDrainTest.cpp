#include "test/PlatformHarness.h"

#include "coord/DomainDrains.h"
#include "platform/RecordFormat.h"
#include "serve/StoreWatcher.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr const char* kOperator = "keyed.op";
constexpr const char* kDrainOfZone1 = "evacuate/zone-1";
constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;

Task<void>
Settle()
{
  co_await Sleep(std::chrono::milliseconds(120));
}

/** A harness with an engine in each of two failure domains, of two regions. */
struct TwoDomains
{
  explicit TwoDomains(std::uint16_t aPort)
    : harness(aPort)
    , first(harness.AddEngine("e1", "plain", "zone-1"))
    , second(harness.AddEngine("e2", "plain", "zone-2"))
  {
    this->harness.state->settings.regionOfZone = {
      { ZoneId{ "zone-1" }, RegionId{ "region-1" } },
      { ZoneId{ "zone-2" }, RegionId{ "region-2" } },
    };
  }

  PlatformHarness harness;
  standin::PlatformEngine& first;
  standin::PlatformEngine& second;
};

/** Starts to read the operators' topic and sends some requests. */
Task<void>
WatchAndSend(PlatformHarness& aHarness)
{
  aHarness.state->pool.First().Spawn(WatchOperatorTopic(*aHarness.state));
  co_await Settle();
  const std::size_t served = co_await aHarness.SendRequests(8);
  CHECK(served == 8);
}

} // namespace

// Guards against requests to a failure domain that operators have drained.
TEST_CASE("a drained failure domain gets no requests until it ends")
{
  TwoDomains domains(22690);
  domains.harness.store.AppendKeyed(kOperator, kDrainOfZone1, "{}");
  domains.harness.Run(WatchAndSend(domains.harness));
  CHECK(domains.first.receivedRequests.empty());
  domains.harness.store.AppendKeyed(kOperator, kDrainOfZone1, std::nullopt);
  domains.harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    co_await Settle();
    co_await aHarness.SendRequests(8);
  }(domains.harness));
  CHECK_FALSE(domains.first.receivedRequests.empty());
}

// Guards against a drain that ends, or never ends, because the record that says
// so was dropped with the history.
TEST_CASE("a drain follows the store through an outage and dropped history")
{
  TwoDomains domains(22700);
  domains.harness.store.AppendKeyed(kOperator, kDrainOfZone1, "{}");
  std::set<ZoneId> duringOutage;
  std::set<ZoneId> afterwards;
  domains.harness.Run([](PlatformHarness& aHarness,
                         std::set<ZoneId>& aDuringOutage,
                         std::set<ZoneId>& aAfterwards) -> Task<void> {
    co_await WatchAndSend(aHarness);
    aHarness.store.down = true;
    co_await Settle();
    aDuringOutage = aHarness.state->domainDrains.InForce();
    aHarness.store.AppendKeyed(kOperator, kDrainOfZone1, std::nullopt);
    aHarness.store.DropHistory(kOperator);
    aHarness.store.down = false;
    co_await Sleep(std::chrono::milliseconds(600));
    aAfterwards = aHarness.state->domainDrains.InForce();
  }(domains.harness, duringOutage, afterwards));
  CHECK(duringOutage == std::set<ZoneId>{ ZoneId{ "zone-1" } });
  CHECK(afterwards.empty());
}

// Guards against callers that wait for engines that nothing may be sent to.
TEST_CASE("a request whose engines are all drained is refused at once")
{
  PlatformHarness harness(22710);
  auto& only = harness.AddEngine("e1", "plain", "zone-1");
  harness.store.AppendKeyed(kOperator, kDrainOfZone1, "{}");
  CallerResponse response;
  Millis duration{ 0 };
  harness.Run([](PlatformHarness& aHarness,
                 CallerResponse& aResponse,
                 Millis& aDuration) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchOperatorTopic(*aHarness.state));
    co_await Settle();
    const TimePoint sentAt = ServingState::Now();
    CallerMessage message;
    aResponse = co_await aHarness.SendRequest(std::move(message));
    aDuration = ServingState::Now() - sentAt;
  }(harness, response, duration));
  CHECK(response.status == kServiceUnavailable);
  CHECK_FALSE(response.retryAfter.empty());
  CHECK(only.receivedRequests.empty());
}

// Guards against a send on a connection that was being opened when the drain
// began.
TEST_CASE("a request is rerouted if its domain is drained on connect")
{
  TwoDomains domains(22720);
  ServingState& state = *domains.harness.state;
  ZoneId drained;
  state.sendPromptNotice = [&](const InstanceId& aId, auto, const auto&) {
    if (drained.Empty()) {
      drained = state.backends.Find(aId)->entry.zone;
      state.domainDrains.Apply(
        drained, StorePosition{ 9 }, true, ServingState::Now());
    }
  };
  CallerResponse response;
  domains.harness.Run(
    [](PlatformHarness& aHarness, CallerResponse& aResponse) -> Task<void> {
      CallerMessage message;
      aResponse = co_await aHarness.SendRequest(std::move(message));
    }(domains.harness, response));
  const bool firstDrained = drained == ZoneId{ "zone-1" };
  CHECK(response.status == kOk);
  CHECK(domains.first.receivedRequests.size() == (firstDrained ? 0 : 1));
  CHECK(domains.second.receivedRequests.size() == (firstDrained ? 1 : 0));
}

// Guards against requests that leave the regions which their route and their
// team allow.
TEST_CASE("requests stay in the regions that route and team both allow")
{
  TwoDomains domains(22730);
  Catalog catalog = *platform::ParseCatalog(PlatformHarness::CatalogText(2));
  const RegionId first{ "region-1" };
  const RegionId second{ "region-2" };
  for (Route& route : catalog.routes) {
    route.allowedRegions = { first, second };
  }
  catalog.teams.front().allowedRegions = { second };
  domains.harness.state->catalog = std::make_shared<const Catalog>(catalog);
  std::size_t served = 0;
  const auto send = [](PlatformHarness& aHarness,
                       std::size_t& aServed) -> Task<void> {
    aServed = co_await aHarness.SendRequests(6);
  };
  domains.harness.Run(send(domains.harness, served));
  CHECK(served == 6);
  CHECK(domains.first.receivedRequests.empty());

  for (Route& route : catalog.routes) {
    route.allowedRegions = { first };
  }
  domains.harness.state->catalog = std::make_shared<const Catalog>(catalog);
  domains.harness.Run(send(domains.harness, served));
  CHECK(served == 0);
  CHECK(domains.first.receivedRequests.empty());
  CHECK(domains.second.receivedRequests.size() == 6);
}

// Guards against a late report that brings an ended drain back.
TEST_CASE("an older record neither begins nor ends a drain")
{
  const ZoneId zone{ "zone-1" };
  const TimePoint now{ 1000 };
  DomainDrains drains;
  CHECK(drains.Apply(zone, StorePosition{ 5 }, true, now));
  CHECK_FALSE(drains.Apply(zone, StorePosition{ 4 }, false, now));
  CHECK(drains.IsDrained(zone));
  CHECK(drains.EndUnlisted({}, StorePosition{ 5 }, now).empty());
  CHECK(drains.EndUnlisted({}, StorePosition{ 8 }, now).size() == 1);
  CHECK_FALSE(drains.Apply(zone, StorePosition{ 7 }, true, now));
  CHECK_FALSE(drains.IsDrained(zone));
}

// Guards against a drain that ends since the store has come back from a copy
// without its order.
TEST_CASE("a drain outlives the loss of its order in the store")
{
  const ZoneId zone{ "zone-1" };
  const StoreEra second{ 2 };
  const TimePoint now{ 100000 };
  DomainDrains drains;
  drains.Apply(zone, StorePosition{ 9, StoreEra{ 1 } }, true, now);
  CHECK(drains.EndUnlisted({}, StorePosition{ 6, second }, now).empty());
  CHECK(drains.EndMissing(now + Millis(1900)).empty());
  CHECK(drains.IsDrained(zone));
  // Operators write it again.
  drains.Apply(zone, StorePosition{ 6, second }, true, now + Millis(1950));
  CHECK(drains.EndMissing(now + Millis(5000)).empty());
  CHECK(drains.IsDrained(zone));
  // They do not the next time.
  const StorePosition third{ 4, StoreEra{ 3 } };
  CHECK(drains.EndUnlisted({}, third, now + Millis(6000)).empty());
  CHECK(drains.EndMissing(now + Millis(8000)).size() == 1);
  CHECK_FALSE(drains.IsDrained(zone));
}

// Guards against settings of operators that are not read.
TEST_CASE("warm-up and allowed regions of a configuration are read")
{
  const auto catalog = platform::ParseCatalog(
    R"({"version":3,"routes":[{"name":"r","allowed_regions":["a","b"]}],
        "services":[{"name":"s","cold_start_s":2.5,"cold_per_s":16.0},
                    {"name":"t","cold_start_s":0.0,"cold_per_s":0.0}],
        "tenants":[{"name":"x","allowed_regions":["b"]}]})");
  REQUIRE(catalog.has_value());
  CHECK(catalog->routes.front().allowedRegions ==
        std::set<RegionId>{ RegionId{ "a" }, RegionId{ "b" } });
  CHECK(catalog->teams.front().allowedRegions ==
        std::set<RegionId>{ RegionId{ "b" } });
  const ServiceSpec* service = catalog->FindService(ServiceId{ "s" });
  REQUIRE(service->warmup.has_value());
  CHECK(service->warmup->duration == Millis(2500));
  CHECK(service->warmup->ratePerSecond == 16.0);
  CHECK_FALSE(catalog->FindService(ServiceId{ "t" })->warmup.has_value());
}

} // namespace toucanshed::test
