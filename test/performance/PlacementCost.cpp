// Processor time of a placement decision with the load reports of few daemons
// and of many. Prints figures and asserts no duration.
#include "coord/Catalog.h"
#include "coord/Placement.h"

#include <catch2/catch.hpp>
#include <ctime>
#include <iostream>

namespace toucanshed::test {
namespace {

/** \return microseconds a decision */
double
MeasureDecision(int aEngines, bool aManyDaemons)
{
  constexpr int kDecisions = 2000;
  const ServiceId service{ "model" };
  BackendTable table;
  for (int i = 0; i < aEngines; ++i) {
    BackendEntry entry;
    entry.id = InstanceId{ "engine-" + std::to_string(i) };
    entry.service = service;
    entry.zone = ZoneId{ i % 3 == 0 ? "a" : "b" };
    entry.slots = 32;
    table.Put(entry);
    Backend* engine = table.Find(entry.id);
    engine->remoteLoad = BackendLoad{ i % 20, (i * 977) % 30000 };
    engine->usualRemote = UsualLoad{ 10, 15000 };
  }
  const auto engines = table.ForService(service);
  const EngineTraits traits{ 32, 400000 };
  Placer placer{ ZoneId{ "a" } };
  PlacementRequest request;
  request.prompt = { { "all", 500 }, { "subject", 5000 }, { "own", 1200 } };
  request.memoryTokens = 7000;
  if (aManyDaemons) {
    request.loadAge = LoadAge(Millis(474));
  }
  std::uint64_t chosen = 0;
  const std::clock_t start = std::clock();
  for (int i = 0; i < kDecisions; ++i) {
    const TimePoint now{ 1000 + i };
    if (aManyDaemons) {
      request.spreadKey = static_cast<std::uint64_t>(i) + 1;
      request.isLong = i % 4 == 0;
      placer.UpdatePools(engines, 0.4, now);
    }
    chosen += placer.Choose(engines, request, &traits, now)->uncachedTokens;
  }
  constexpr double kMicros = 1e6;
  const double time = kMicros * static_cast<double>(std::clock() - start) /
                      static_cast<double>(CLOCKS_PER_SEC);
  CHECK(chosen > 0);
  return time / kDecisions;
}

} // namespace

TEST_CASE("cost of a placement decision")
{
  std::cout << "engines  us a decision: few daemons  many daemons, pools\n";
  for (const int engines : { 6, 120, 600 }) {
    std::cout << engines << "  " << MeasureDecision(engines, false) << "  "
              << MeasureDecision(engines, true) << "\n";
  }
}

} // namespace toucanshed::test
