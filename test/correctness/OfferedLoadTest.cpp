#include "coord/OfferedLoad.h"
#include "coord/PeerTable.h"
#include "coord/RequiredEngines.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

namespace toucanshed::test {
namespace {

const ServiceId kService{ "model" };

AdmittedRequest
Prompt(int aPriority, std::uint64_t aUnshared, std::uint64_t aShared = 0)
{
  AdmittedRequest request;
  request.priority = aPriority;
  request.unsharedTokens = aUnshared;
  request.sharedTokens = aShared;
  return request;
}

/** Admits a request every 100 ms for 30 s. \return the time after them. */
TimePoint
AdmitMany(OfferedLoad& aLoad, const AdmittedRequest& aRequest)
{
  TimePoint now{ 1000 };
  for (int i = 0; i < 300; ++i, now = now + Millis(100)) {
    aLoad.RecordAdmission(kService, aRequest, now);
  }
  return now;
}

serving::DaemonHeartbeat
HeartbeatOf(const std::string& aId, const std::string& aZone)
{
  serving::DaemonHeartbeat heartbeat;
  heartbeat.set_id(aId);
  heartbeat.set_life(1);
  heartbeat.set_sequence(1);
  heartbeat.set_zone(aZone);
  heartbeat.add_services()->set_service(kService.value);
  return heartbeat;
}

} // namespace

// Guards against one absurd count, or a priority that does not exist, that
// spoils what is measured of all other requests.
TEST_CASE("absurd token counts and priorities are bounded")
{
  OfferedLoad load;
  AdmittedRequest absurd = Prompt(-3, 1000000000000, 1000000000000);
  absurd.engineTokens = 60000;
  const TimePoint now = AdmitMany(load, absurd);
  const DemandByPriority demand = load.At(kService, now);
  CHECK(demand.at(0).promptTokensPerS <= 11 * 60000);
  CHECK(demand.at(0).requestsPerS == Approx(10).epsilon(0.1));
  load.RecordAdmission(kService, Prompt(200, 5), now);
  CHECK(load.At(kService, now).at(9).requestsPerS > 0);
  load.RecordFinish(kService, 0, false, Millis(-5));
  load.RecordFinish(kService, 0, false, Millis::max());
  CHECK(load.At(kService, now).at(0).slots <= 11 * 60);
  CHECK(load.At(ServiceId{ "other" }, now).at(0).requestsPerS == 0);
}

// Guards against an overload that raises the measured slot time, and with it
// the engines required for the same requests.
TEST_CASE("a wait in full engines does not raise the slot time")
{
  OfferedLoad load;
  const TimePoint now = AdmitMany(load, Prompt(4, 100));
  for (int i = 0; i < 400; ++i) {
    // Short and long responses; the mean is a second.
    load.RecordFinish(kService, 4, false, Millis(i % 2 == 0 ? 200 : 1800));
  }
  const double usual = load.At(kService, now).at(4).slots;
  CHECK(usual == Approx(10).epsilon(0.1));
  for (int i = 0; i < 80; ++i) {
    load.RecordFinish(kService, 4, false, Millis(i % 2 == 0 ? 2200 : 3800));
  }
  CHECK(load.At(kService, now).at(4).slots == Approx(usual));
}

// Guards against shared sections that count as prefill though engines have them
// cached, and against ones that are not cached and do not count.
TEST_CASE("shared tokens count by the fraction that is not cached")
{
  for (const std::uint64_t uncached : { 0, 5000 }) {
    OfferedLoad load;
    const TimePoint now = AdmitMany(load, Prompt(0, 100, 5000));
    for (int i = 0; i < 30; ++i) {
      load.RecordSend(kService, 5000, uncached, now);
    }
    const double tokens = load.At(kService, now).at(0).promptTokensPerS;
    CHECK(tokens == Approx(10 * (100 + static_cast<double>(uncached)))
                      .epsilon(0.15)
                      .margin(500));
  }
}

// Guards against services that are named once and kept for ever.
TEST_CASE("the meter's services are bounded")
{
  OfferedLoad load;
  for (int i = 0; i < 1000; ++i) {
    load.RecordAdmission(ServiceId{ "s" + std::to_string(i) },
                         Prompt(0, 1),
                         TimePoint{ 1000 + i });
  }
  CHECK(load.Services().size() == OfferedLoad::kMaxServices);
  CHECK(load.At(ServiceId{ "s999" }, TimePoint{ 2000 }).at(0).requestsPerS > 0);
}

// Guards against an older daemon's callers that no engine is ordered for, and
// against an invalid report that orders engines without end.
TEST_CASE("offered load is summed over old, new and wrong reports")
{
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 1000 };
  serving::DaemonHeartbeat first = HeartbeatOf("a", "east");
  auto* part = first.mutable_services(0)->add_priorities();
  part->set_priority(2);
  part->set_requests_per_s(10);
  part->set_prompt_tokens_per_s(1000);
  part->set_slots(4);
  peers.ReceiveHeartbeat(first, now);
  serving::DaemonHeartbeat wrong = first;
  wrong.set_id("b");
  wrong.set_zone("west");
  auto* invalid = wrong.mutable_services(0)->mutable_priorities(0);
  invalid->set_priority(99);
  invalid->set_slots(std::numeric_limits<double>::quiet_NaN());
  invalid->set_prompt_tokens_per_s(-1e300);
  peers.ReceiveHeartbeat(wrong, now);
  const ServiceDemand known = peers.OfferedLoad(kService, now);
  CHECK(known.byZone.at(ZoneId{ "east" }).at(2).slots == 4);
  CHECK(known.byZone.at(ZoneId{ "west" }).at(9).requestsPerS == 10);
  CHECK(known.Total().promptTokensPerS == 1000);
  CHECK(known.Total().slots == 4);

  serving::DaemonHeartbeat old = HeartbeatOf("c", "east");
  old.mutable_services(0)->set_prompt_tokens_per_s(500);
  peers.ReceiveHeartbeat(old, now);
  CHECK(peers.OfferedLoad(kService, now).Total().promptTokensPerS == 1500);
  CHECK(peers.OfferedLoad(kService, now).Total().slots == 6);

  // It counts until the peer timeout and not longer.
  const TimePoint late = now + peers.PeerTimeout();
  CHECK(peers.OfferedLoad(kService, late).Total().slots == 6);
  CHECK(peers.OfferedLoad(kService, late + Millis(1)).Total().slots == 0);
}

// Guards against engines that are ordered for a fixed fraction of their slots,
// whatever their number, and against a planned load that overfills them.
TEST_CASE("few slots are planned emptier than many")
{
  CHECK(PlannedSlotUtilization(0) == PlannedSlotUtilization(1));
  CHECK(PlannedSlotUtilization(12) == Approx(0.566).epsilon(0.01));
  CHECK(PlannedSlotUtilization(4000) == kMaxSlotUtilization);
  for (unsigned slots = 1; slots < 300; ++slots) {
    const double running = PlannedSlotUtilization(slots) * slots;
    CHECK(running + 2 * std::sqrt(running) <= slots + 1e-9);
    CHECK(PlannedSlotUtilization(slots) <= PlannedSlotUtilization(slots + 1));
  }
}

// Guards against prompts that wait for longer than their target bears.
TEST_CASE("only routes with time to wait raise the prefill utilization")
{
  CapacityDemand load;
  load.prefillTokensPerMs = 80;
  load.meanPromptTokens = 8000;
  CHECK(PlannedPrefillUtilization(load) == kTargetPrefillUtilization);
  load.smallestTarget = Millis(400);
  CHECK(PlannedPrefillUtilization(load) == kTargetPrefillUtilization);
  load.smallestTarget = Millis(2000);
  CHECK(PlannedPrefillUtilization(load) == kRelaxedPrefillUtilization);
}

} // namespace toucanshed::test
