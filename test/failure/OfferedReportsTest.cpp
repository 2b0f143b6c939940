// What daemons report of their callers' requests, and the engines that follow.
#include "coord/RequiredEngines.h"
#include "serve/EngineDemand.h"
#include "serve/OfferedRequests.h"
#include "serve/PeerReports.h"
#include "serve/ServingRequest.h"
#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };

std::shared_ptr<const Catalog>
CatalogWithEngines()
{
  auto catalog = std::make_shared<Catalog>();
  catalog->services[kService].id = kService;
  catalog->services[kService].engine = EngineTraits{ 12 };
  catalog->services[ServiceId{ "plain" }].id = ServiceId{ "plain" };
  catalog->routes.resize(1);
  catalog->routes[0].priority = 3;
  return catalog;
}

/** Admits a hundred requests. */
void
AdmitMany(ServingState& aState, const ServiceId& aService)
{
  ServingRequest request;
  request.catalog = aState.catalog;
  request.route = &aState.catalog->routes[0];
  request.service = aService;
  request.incoming.prompt = { { "shared", 4000 }, { "own", 1000 } };
  for (int i = 0; i < 100; ++i) {
    RecordOfferedLoad(aState, request, ServingState::Now());
  }
}

std::unique_ptr<ServingState>
MakeState(const std::string& aId)
{
  auto state = MakeServingState(aId, Endpoint{}, Endpoint{}, 0);
  state->catalog = CatalogWithEngines();
  return state;
}

} // namespace

// Guards against requests that count at two daemons because one of them sends
// what the other one's callers ask for, and against the engines required by one
// daemon's callers only.
TEST_CASE("relayed requests count at the daemon that admitted them")
{
  const auto holder = MakeState("daemon-1");
  const auto admitting = MakeState("daemon-2");
  const auto relaying = MakeState("daemon-3");
  AdmitMany(*holder, kService);
  AdmitMany(*admitting, kService);
  AdmitMany(*admitting, ServiceId{ "plain" });
  const TimePoint now = ServingState::Now();
  const double own =
    RequiredEnginesNow(*holder, holder->catalog->services.at(kService), now)
      .Max();
  holder->peers.ReceiveHeartbeat(MakeHeartbeat(*admitting, 1), now);
  const ServiceDemand both = OfferedLoadOfAll(*holder, kService, now);
  const double ownRate =
    holder->offeredLoad.At(kService, now).at(3).requestsPerS;
  CHECK(ownRate > 30);
  CHECK(both.ByPriority().at(3).requestsPerS ==
        Approx(2 * ownRate).epsilon(0.05));
  CHECK(RequiredEnginesNow(*holder, holder->catalog->services.at(kService), now)
          .Max() == Approx(2 * own).epsilon(0.1));
  CHECK(
    OfferedLoadOfAll(*holder, ServiceId{ "plain" }, now).Total().requestsPerS ==
    0);

  relaying->promptRates[kService].Add(500000, now);
  holder->peers.ReceiveHeartbeat(MakeHeartbeat(*relaying, 1), now);
  CHECK(OfferedLoadOfAll(*holder, kService, now).Total().promptTokensPerS ==
        Approx(both.Total().promptTokensPerS).epsilon(0.05));
}

} // namespace toucanshed::test
