/** \file
 * slopes: measures how the state, messages and processor time of the
 * coordination components grow with the size of their input. Prints one JSON
 * object per line, which tools/slopes reads.
 */
#include "base/Hash.h"
#include "coord/ClaimCoordinator.h"
#include "coord/ControlReader.h"
#include "coord/Evidence.h"
#include "coord/FactSet.h"
#include "coord/Router.h"
#include "coord/VersionComparison.h"
#include "test/MembershipSimulation.h"

#include <chrono>
#include <cstdio>
#include <iostream>
#include <malloc.h>

namespace toucanshed::bench {
namespace {

/** When the evidence is read; it has no requests that still run. */
const TimePoint kNow{ 1000 };

using Clock = std::chrono::steady_clock;

double
NanosecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double, std::nano>(Clock::now() - aStart)
    .count();
}

/** Bytes allocated on the heap. */
double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

void
PrintResult(const char* aRole,
            const char* aInput,
            double aSize,
            const char* aMetric,
            double aValue)
{
  std::printf("{\"role\":\"%s\",\"input\":\"%s\",\"size\":%.0f,"
              "\"what\":\"%s\",\"value\":%.3f}\n",
              aRole,
              aInput,
              aSize,
              aMetric,
              aValue);
  std::fflush(stdout);
}

void
MeasureMembership()
{
  for (const std::size_t count : { 6U, 50U, 150U, 330U }) {
    const double before = HeapBytes();
    test::MembershipSimulation simulation(count);
    simulation.Run(Millis(count < 100 ? 60000 : 200000));
    const double state = (HeapBytes() - before) / static_cast<double>(count);
    simulation.bytes = 0;
    simulation.messages = 0;
    constexpr double kSeconds = 10;
    const auto start = Clock::now();
    simulation.Run(Millis(10000));
    const double daemonSeconds = kSeconds * static_cast<double>(count);
    const auto size = static_cast<double>(count);
    PrintResult("membership",
                "daemons",
                size,
                "bytes sent a second",
                static_cast<double>(simulation.bytes) / daemonSeconds);
    PrintResult("membership",
                "daemons",
                size,
                "messages sent a second",
                static_cast<double>(simulation.messages) / daemonSeconds);
    PrintResult("membership",
                "daemons",
                size,
                "processor ns a second",
                NanosecondsSince(start) / daemonSeconds);
    PrintResult("membership", "daemons", size, "state bytes", state);
  }
}

EngineReport
MakeEngineReport(std::size_t aIndex)
{
  EngineReport report;
  report.id = InstanceId{ "engine-" + std::to_string(aIndex) };
  report.incarnation = "1";
  report.address = "10.0.0.1:8000";
  report.service = ServiceId{ "survey" };
  report.version = VersionId{ "v1" };
  report.zone = ZoneId{ "z" + std::to_string(aIndex % 8) };
  report.slots = 16;
  report.running = aIndex % 12;
  return report;
}

void
MeasureRouting()
{
  for (const std::size_t count : { 20U, 200U, 1000U, 5100U }) {
    const double before = HeapBytes();
    Router router{ Random(1) };
    for (std::size_t i = 0; i < count; ++i) {
      router.Upsert(MakeEngineReport(i));
    }
    const auto size = static_cast<double>(count);
    PrintResult(
      "routing", "engines", size, "state bytes", HeapBytes() - before);
    RouteRequest request;
    request.service = ServiceId{ "survey" };
    request.version = VersionId{ "v1" };
    request.zone = ZoneId{ "z1" };
    request.prefixTokens = 50;
    request.promptTokens = 200;
    constexpr std::uint64_t kDecisions = 100000;
    const auto start = Clock::now();
    for (std::uint64_t i = 0; i < kDecisions; ++i) {
      request.prefixHash = Hash64("p", i % 997 + 1);
      const auto choice = router.Pick(request, TimePoint{ 1000 });
      EngineResult result;
      result.completed = true;
      result.firstTokenMs = 10;
      result.totalMs = 200;
      router.Finish(*choice, result);
    }
    PrintResult("routing",
                "engines",
                size,
                "ns a decision",
                NanosecondsSince(start) / kDecisions);
    const auto upsertStart = Clock::now();
    for (std::size_t i = 0; i < count; ++i) {
      router.Upsert(MakeEngineReport(i));
    }
    PrintResult("routing",
                "engines",
                size,
                "ns a load report",
                NanosecondsSince(upsertStart) / size);
  }
}

void
MeasureClaims()
{
  for (const std::size_t count : { 1000U, 10000U, 100000U }) {
    const double before = HeapBytes();
    ClaimCoordinator claims(WriterId{ "d/1" }, Millis(3600000));
    double bytes = 0;
    const auto start = Clock::now();
    for (std::size_t i = 0; i < count; ++i) {
      const AttemptId attempt{ "a-daemon-17.1700000000000-" +
                               std::to_string(i) };
      const IdempotencyKey key{ "crews/jobdesk/1000-" + std::to_string(i) };
      claims.TryClaim(key, Fingerprint{ i }, attempt, TimePoint{ 1000000 });
      auto claim = claims.Queue().NextToSend();
      bytes += static_cast<double>(claim->ByteSizeLong());
      claims.Apply(2 * i + 1, *claim);
      claims.Dispatch(attempt, TimePoint{ 1000000 });
      ClaimOutcome claimOutcome;
      claimOutcome.status = 200;
      claimOutcome.body = std::string(100, 'x');
      claims.Complete(attempt, claimOutcome);
      claims.Release(attempt);
      auto outcome = claims.Queue().NextToSend();
      bytes += static_cast<double>(outcome->ByteSizeLong());
      claims.Apply(2 * i + 2, *outcome);
    }
    const auto size = static_cast<double>(count);
    PrintResult(
      "claims", "keys kept", size, "state bytes", HeapBytes() - before);
    PrintResult("claims", "keys kept", size, "log bytes", bytes);
    PrintResult("claims",
                "keys kept",
                size,
                "ns a claim",
                NanosecondsSince(start) / size);
  }
}

records::Batch
MakeConfigChange(std::size_t aNumber, std::uint64_t aBase)
{
  records::Batch batch;
  batch.set_writer("d/1");
  batch.set_sequence(aNumber + 1);
  records::ConfigChange* change = batch.add_records()->mutable_config();
  change->set_base_revision(aBase);
  change->set_change_id("c-" + std::to_string(aNumber));
  config::ServiceDocument* document = change->mutable_document();
  document->set_service("service-" + std::to_string(aNumber % 100));
  document->set_kind(config::MODEL);
  document->set_first_token_target_ms(320);
  for (const char* name : { "v1", "v2" }) {
    config::Version* version = document->add_versions();
    version->set_name(name);
    version->set_share_percent(document->versions_size() == 1 ? 100 : 0);
  }
  for (int i = 0; i < 5; ++i) {
    config::TeamShare* team = document->add_teams();
    team->set_team("team-" + std::to_string(i));
    team->set_weight(1);
  }
  return batch;
}

void
MeasureControl()
{
  for (const std::size_t count : { 500U, 2000U, 14000U }) {
    ControlReader reader(WriterId{ "d/2" });
    std::map<std::size_t, std::uint64_t> bases;
    double bytes = 0;
    const auto start = Clock::now();
    for (std::size_t i = 0; i < count; ++i) {
      std::uint64_t& base = bases[i % 100];
      const records::Batch batch = MakeConfigChange(i, base);
      base = PositionOf(i + 1, 0).value;
      bytes += static_cast<double>(batch.ByteSizeLong());
      reader.Apply(i + 1, batch);
    }
    const auto size = static_cast<double>(count);
    PrintResult("configuration",
                "changes",
                size,
                "ns a change",
                NanosecondsSince(start) / size);
    PrintResult("configuration", "changes", size, "log bytes", bytes);
    PrintResult("configuration",
                "changes",
                size,
                "snapshot bytes",
                static_cast<double>(reader.Snapshot().ByteSizeLong()));
  }
}

void
MeasureEvidence()
{
  for (const std::size_t daemons : { 6U, 50U, 330U }) {
    EvidenceTable owner("d0/1");
    double bytes = 0;
    const double before = HeapBytes();
    for (std::size_t d = 1; d < daemons; ++d) {
      EvidenceTable table("d" + std::to_string(d) + "/1");
      for (int i = 0; i < 200; ++i) {
        Observation observation;
        observation.firstTokenMs = 50 + i;
        observation.meanGapMs = 20 + i % 10;
        table.Observe(Position{ 1 },
                      VersionId{ i % 2 == 0 ? "v1" : "v2" },
                      Stratum{ 0, "chat" },
                      observation);
      }
      for (const peer::Evidence& evidence :
           table.LocalEvidence(Position{ 1 }, kNow)) {
        bytes += static_cast<double>(evidence.ByteSizeLong());
        owner.Merge(evidence);
      }
    }
    const auto size = static_cast<double>(daemons);
    PrintResult("evidence",
                "daemons",
                size,
                "state bytes at the owner",
                HeapBytes() - before);
    PrintResult(
      "evidence", "daemons", size, "bytes to the owner a round", bytes);
    const auto start = Clock::now();
    constexpr int kRounds = 200;
    for (int i = 0; i < kRounds; ++i) {
      CompareVersions(owner.Sum(Position{ 1 }, VersionId{ "v1" }, kNow),
                      owner.Sum(Position{ 1 }, VersionId{ "v2" }, kNow),
                      {});
    }
    PrintResult("evidence",
                "daemons",
                size,
                "ns a verdict",
                NanosecondsSince(start) / kRounds);
  }
}

void
MeasureFacts()
{
  for (const std::size_t count : { 100U, 1000U, 10000U }) {
    const double before = HeapBytes();
    FactSet facts;
    double bytes = 0;
    const auto start = Clock::now();
    for (std::size_t i = 0; i < count; ++i) {
      FactEntry fact{ "crash/" + std::to_string(Hash64("f", i)) +
                        "/engine-17/170000",
                      TimePoint{ 100000 } };
      peer::Fact sent;
      sent.set_key(fact.key);
      sent.set_expires_ms(1700000000000);
      bytes += static_cast<double>(sent.ByteSizeLong());
      facts.Add(std::move(fact), TimePoint{ 0 });
    }
    const auto size = static_cast<double>(count);
    PrintResult(
      "facts", "facts kept", size, "state bytes", HeapBytes() - before);
    PrintResult("facts", "facts kept", size, "bytes sent whole", bytes);
    PrintResult(
      "facts", "facts kept", size, "ns a fact", NanosecondsSince(start) / size);
  }
}

} // namespace
} // namespace toucanshed::bench

int
main()
{
  toucanshed::bench::MeasureRouting();
  toucanshed::bench::MeasureClaims();
  toucanshed::bench::MeasureControl();
  toucanshed::bench::MeasureEvidence();
  toucanshed::bench::MeasureFacts();
  toucanshed::bench::MeasureMembership();
  return 0;
}
