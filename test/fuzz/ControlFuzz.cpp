#include "coord/ControlReader.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

// Checks that the configuration converges under faults: operators send
// concurrent changes, appends are repeated and committed late, the log drops
// its oldest records once a snapshot covers them, and daemons restart from the
// log or from an old snapshot of a peer. Daemons that have read to the same
// offset must have the same documents, accepted revisions must only increase,
// and the oracle, one sequential list, must accept the same changes.

namespace toucanshed::test {
namespace {

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kServices = 2;

struct ControlStep
{
  std::uint8_t kind = 0;
  std::uint8_t daemon = 0;
  std::uint8_t service = 0;
  std::uint8_t variant = 0;
};

[[maybe_unused]] std::ostream&
operator<<(std::ostream& aStream, const ControlStep& aStep)
{
  return aStream << "{" << int(aStep.kind) << "," << int(aStep.daemon) << ","
                 << int(aStep.service) << "," << int(aStep.variant) << "}";
}

config::ServiceDocument
DocumentOf(std::size_t aService, std::uint64_t aChangeNumber, bool aHasRollout)
{
  config::ServiceDocument document;
  document.set_service("s" + std::to_string(aService));
  document.set_kind(config::MODEL);
  document.set_first_token_target_ms(
    static_cast<std::uint32_t>(aChangeNumber % 60000) + 1);
  for (const char* name : { "v1", "v2" }) {
    config::Version* version = document.add_versions();
    version->set_name(name);
    version->set_share_percent(document.versions_size() == 1 ? 100 : 0);
  }
  if (aHasRollout) {
    config::Move* rollout = document.mutable_move();
    rollout->set_from("v1");
    rollout->set_to("v2");
    rollout->set_deadline_s(60);
    rollout->set_canary_percent(5);
    rollout->set_min_requests(1);
  }
  return document;
}

/** Reference implementation: applies all batches in order, without snapshots.
 */
struct Oracle
{
  std::map<std::string, std::pair<std::uint64_t, std::string>> activeDocuments;
  std::set<std::pair<std::string, std::uint64_t>> seenBatches;

  void Append(std::uint64_t aOffset, const records::Batch& aBatch)
  {
    if (!this->seenBatches.insert({ aBatch.writer(), aBatch.sequence() })
           .second) {
      return;
    }
    for (int i = 0; i < aBatch.records_size(); ++i) {
      if (!aBatch.records(i).has_config()) {
        continue;
      }
      const auto& change = aBatch.records(i).config();
      auto& entry = this->activeDocuments[change.document().service()];
      if (entry.first == change.base_revision()) {
        entry.first = PositionOf(aOffset, static_cast<std::size_t>(i)).value;
        entry.second = change.document().SerializeAsString();
      }
    }
  }
};

class ControlSimulation
{
public:
  ControlSimulation()
    : daemons(kDaemons)
  {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      this->ResetDaemon(i);
    }
  }

  void RunStep(const ControlStep& aStep)
  {
    const std::size_t daemon = aStep.daemon % kDaemons;
    switch (aStep.kind % 9) {
      case 0:
      case 1:
        this->ProposeChange(daemon, aStep);
        break;
      case 2:
        this->ProposeRolloutRecord(daemon, aStep);
        break;
      case 3:
      case 4:
        this->SendBatch(daemon, aStep.variant % 4);
        break;
      case 5:
      case 6:
        this->ReadLog(daemon, 1 + aStep.variant % 8U);
        break;
      case 7:
        this->CompactLog(daemon, aStep.variant);
        break;
      default:
        this->RestartDaemon(daemon, aStep);
        break;
    }
  }

  /** Lets all daemons read to the end of the log, and compares their state. */
  void CheckConverged()
  {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      this->ReadLog(i, this->log.size());
      RC_ASSERT(this->daemons[i].reader->IsComplete());
      const auto& services = this->daemons[i].reader->Table().Services();
      std::size_t accepted = 0;
      for (const auto& [name, entry] : this->oracle.activeDocuments) {
        if (entry.first == 0) {
          continue;
        }
        ++accepted;
        const auto found = services.find(ServiceId{ name });
        RC_ASSERT(found != services.end());
        RC_ASSERT(found->second.revision.value == entry.first);
        RC_ASSERT(found->second.document.SerializeAsString() == entry.second);
      }
      RC_ASSERT(services.size() == accepted);
      RC_ASSERT(this->DescribeRollouts(i) == this->DescribeRollouts(0));
    }
  }

private:
  struct Daemon
  {
    std::unique_ptr<ControlReader> reader;
    std::size_t batchesRead = 0; // all offsets up to this one
    std::map<std::string, std::uint64_t> latestRevisions;
  };

  std::string DescribeRollouts(std::size_t aDaemon)
  {
    std::string text;
    for (const auto& [position, rollout] :
         this->daemons[aDaemon].reader->Table().RolloutsByRevision()) {
      text += std::to_string(position.value) + ":" +
              std::to_string(rollout.step) + ToText(rollout.status) +
              rollout.reason + " ";
    }
    return text;
  }

  void ResetDaemon(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    daemon.reader = std::make_unique<ControlReader>(
      WriterId{ "d/" + std::to_string(++this->lastIncarnation) });
    daemon.reader->SetEarliestOffset(this->earliest);
    daemon.batchesRead = this->earliest - 1;
    daemon.latestRevisions.clear();
  }

  void RestartDaemon(std::size_t aDaemon, const ControlStep& aStep)
  {
    // The peer's snapshot may be old. The daemon then reads from the log what
    // the snapshot does not cover.
    const Daemon& peer = this->daemons[aStep.service % kDaemons];
    const bool peerComplete = peer.reader->IsComplete();
    const auto peerSnapshot = peer.reader->Snapshot();
    this->ResetDaemon(aDaemon);
    if (peerComplete && aStep.variant % 2 == 0) {
      this->daemons[aDaemon].reader->LoadSnapshot(peerSnapshot);
      this->daemons[aDaemon].reader->SetEarliestOffset(this->earliest);
    }
    this->CheckRevisionsGrow(aDaemon);
  }

  void ProposeChange(std::size_t aDaemon, const ControlStep& aStep)
  {
    records::Record record;
    records::ConfigChange* change = record.mutable_config();
    const std::size_t service = aStep.service % kServices;
    *change->mutable_document() =
      DocumentOf(service, ++this->lastChangeNumber, aStep.variant % 3 == 0);
    const ControlTable& table = this->daemons[aDaemon].reader->Table();
    const ServiceEntry* known =
      table.Find(ServiceId{ change->document().service() });
    change->set_base_revision(known == nullptr ? 0 : known->revision.value);
    change->set_change_id(std::to_string(this->lastChangeNumber));
    this->daemons[aDaemon].reader->Queue().Add(std::move(record));
  }

  void ProposeRolloutRecord(std::size_t aDaemon, const ControlStep& aStep)
  {
    const auto& rollouts =
      this->daemons[aDaemon].reader->Table().RolloutsByRevision();
    if (rollouts.empty()) {
      return;
    }
    const RolloutState& rollout = std::prev(rollouts.end())->second;
    records::Record record;
    if (aStep.variant % 3 != 0) {
      record.mutable_move_step()->set_move(rollout.rollout.value);
      record.mutable_move_step()->set_step(rollout.step + 1);
    } else {
      record.mutable_move_end()->set_move(rollout.rollout.value);
      record.mutable_move_end()->set_taken_back(aStep.service % 2 == 0);
      record.mutable_move_end()->set_reason("d" + std::to_string(aDaemon));
    }
    this->daemons[aDaemon].reader->Queue().Add(std::move(record));
  }

  void Append(const records::Batch& aBatch)
  {
    this->log.push_back(aBatch);
    this->oracle.Append(this->log.size(), aBatch);
  }

  void SendBatch(std::size_t aDaemon, unsigned aOutcome)
  {
    AppendQueue& queue = this->daemons[aDaemon].reader->Queue();
    const auto batch = queue.NextToSend();
    if (batch && aOutcome != 3) {
      this->Append(*batch);
    }
    if (batch && aOutcome == 0) {
      queue.MarkCommitted(batch->sequence());
    }
    queue.AllowResend();
  }

  void ReadLog(std::size_t aDaemon, std::size_t aCount)
  {
    Daemon& daemon = this->daemons[aDaemon];
    if (daemon.batchesRead + 1 < this->earliest) {
      // The log has dropped the next batch: the daemon restarts, as a real one
      // does.
      this->ResetDaemon(aDaemon);
    }
    for (std::size_t i = 0; i < aCount && daemon.batchesRead < this->log.size();
         ++i) {
      daemon.reader->Apply(daemon.batchesRead + 1,
                           this->log[daemon.batchesRead]);
      ++daemon.batchesRead;
      this->CheckRevisionsGrow(aDaemon);
    }
  }

  void CheckRevisionsGrow(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    for (const auto& [service, entry] : daemon.reader->Table().Services()) {
      std::uint64_t& latest = daemon.latestRevisions[service.value];
      RC_ASSERT(entry.revision.value >= latest);
      latest = entry.revision.value;
    }
  }

  void CompactLog(std::size_t aDaemon, std::uint8_t aVariant)
  {
    const Daemon& daemon = this->daemons[aDaemon];
    if (!daemon.reader->IsComplete() || daemon.batchesRead == 0 ||
        aVariant > 4) {
      return;
    }
    // The batches that the snapshot does not cover stay in the log.
    records::Batch batch;
    batch.set_writer("snapshot/" + std::to_string(++this->lastIncarnation));
    batch.set_sequence(1);
    *batch.add_records()->mutable_snapshot() = daemon.reader->Snapshot();
    const std::size_t covered = daemon.batchesRead;
    this->Append(batch);
    this->earliest = std::max(this->earliest, covered + 1);
  }

  std::vector<records::Batch> log;
  std::size_t earliest = 1;
  std::vector<Daemon> daemons;
  Oracle oracle;
  std::uint64_t lastIncarnation = 0;
  std::uint64_t lastChangeNumber = 0;
};

} // namespace
} // namespace toucanshed::test

namespace rc {
template<>
struct Arbitrary<toucanshed::test::ControlStep>
{
  static Gen<toucanshed::test::ControlStep> arbitrary()
  {
    using toucanshed::test::ControlStep;
    return gen::build<ControlStep>(
      gen::set(&ControlStep::kind, gen::inRange<std::uint8_t>(0, 9)),
      gen::set(&ControlStep::daemon, gen::inRange<std::uint8_t>(0, 3)),
      gen::set(&ControlStep::service, gen::inRange<std::uint8_t>(0, 4)),
      gen::set(&ControlStep::variant, gen::inRange<std::uint8_t>(0, 12)));
  }
};
} // namespace rc

namespace toucanshed::test {

TEST_CASE("configuration converges and never reverts")
{
  CHECK(rc::check([](const std::vector<ControlStep>& aSteps) {
    ControlSimulation simulation;
    for (const ControlStep& step : aSteps) {
      simulation.RunStep(step);
    }
    simulation.CheckConverged();
  }));
}

} // namespace toucanshed::test
