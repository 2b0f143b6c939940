#include "test/CapacitySimulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <vector>

namespace toucanshed::test {
namespace {

constexpr std::size_t kFleets[] = { 7, 69, 330 };
constexpr Millis kMeasured{ 8000 };

const char*
NameOf(StartRule aRule)
{
  switch (aRule) {
    case StartRule::eLoadOnly:
      return "least known load";
    case StartRule::eRandom:
      return "random";
    case StartRule::eReservation:
      return "reservation";
    case StartRule::eShares:
      return "shares";
    case StartRule::eBoth:
      return "both";
  }
  return "";
}

void
CompareWays(double aLoad)
{
  std::cout << "rule             daemons load  served 0/1/2      passed over"
               "  overfull  idle  busiest lag  team lag\n"
            << std::fixed << std::setprecision(3);
  for (const std::size_t daemons : kFleets) {
    for (const StartRule rule : { StartRule::eLoadOnly,
                                  StartRule::eRandom,
                                  StartRule::eReservation,
                                  StartRule::eShares,
                                  StartRule::eBoth }) {
      CapacitySimulation simulation(daemons, aLoad, rule);
      simulation.Settle();
      const CapacityCounts& counts = simulation.Measure(kMeasured);
      std::cout << std::setw(16) << std::left << NameOf(rule) << std::right
                << std::setw(8) << daemons << " " << std::setprecision(1)
                << aLoad << std::setprecision(3) << "  " << counts.Served(0)
                << " " << counts.Served(1) << " " << counts.Served(2) << "  "
                << counts.urgentPassedOver / counts.requests[0] << "        "
                << counts.overfullMs / counts.engineMs << "     "
                << counts.Idle() << "  " << counts.BusiestLag() << "        "
                << counts.TeamLag() << std::endl;
    }
  }
}

} // namespace

TEST_CASE("sharing capacity at 1.5 times what engines serve")
{
  CompareWays(1.5);
}

TEST_CASE("sharing capacity at twice what engines serve")
{
  CompareWays(2);
}

TEST_CASE("cost of a decision to start a request")
{
  constexpr std::size_t kDaemons = 330;
  constexpr std::size_t kEngines = 288;
  LimitShares peers(DaemonId{ "daemon-0" }, TimePoint{ 0 });
  CapacityShares shares(peers);
  std::vector<PriorityNeed> needs;
  std::vector<PriorityStarts> demand;
  for (int priority = 0; priority < 3; ++priority) {
    needs.push_back(PriorityNeed{ priority, 2, 1, 1, 1000 });
    demand.push_back(PriorityStarts{ priority, Millis(400), 500 });
  }
  for (std::size_t i = 1; i < kDaemons; ++i) {
    const DaemonId id{ "daemon-" + std::to_string(i) };
    peers.RecordHeartbeat(id, TimePoint{ 20000 });
    shares.RecordReport(id, needs, TimePoint{ 20000 });
  }
  peers.MarkListRead();
  shares.RecordOwn(needs);
  EngineLoadView view;
  view.slots = 12;
  view.othersMean = 12;
  view.reportAge = Millis(2000);
  view.daemons = kDaemons;
  constexpr int kRounds = 1000;
  constexpr std::size_t kBatches = 9;
  int started = 0;
  std::vector<double> batches;
  for (std::size_t batch = 0; batch < kBatches; ++batch) {
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < kRounds; ++round) {
      const StartRequest request{
        DeriveReservation(2, demand, kEngines, view.slots, view.slotMs),
        10,
        shares.ShareFrom(0, kEngines * view.slots, TimePoint{ 20000 }) *
          kEngines * view.slots
      };
      for (std::size_t engine = 0; engine < kEngines; ++engine) {
        view.othersRunning = static_cast<double>(8 + (engine + round) % 8);
        started += MayStart(request, view) ? 1 : 0;
      }
    }
    const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
    batches.push_back(elapsed.count() / kRounds);
  }
  std::sort(batches.begin(), batches.end());
  std::cout << "share, reservation and " << kEngines << " engines, " << kDaemons
            << " daemons: median " << batches[kBatches / 2] << " us, least "
            << batches.front() << " us\n";
  CHECK(started > 0);
}

} // namespace toucanshed::test
