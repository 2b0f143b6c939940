#include "PeerMessenger.h"

#include "BackendList.h"
#include "OperatorRecords.h"
#include "PeerReports.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "SuspectReports.h"
#include "edge/Worker.h"

namespace toucanshed {

namespace net = boost::asio;
using net::ip::udp;

namespace {

/** Interval at which the daemons' addresses are read again. Of two daemons the
 * one that reads them later finds the other's address and keeps sending to it.
 * A reread only finds peers that were unreachable for so long that they were
 * removed. */
constexpr Millis kMembersSyncInterval = PeerTable::kPeerRetention;
constexpr Millis kMembersRetryInterval{ 500 };
/** Spreads the writes of entries in a new era over more time the more daemons
 * there are. */
constexpr std::uint64_t kMembersJitterMsPerDaemon = 10;
/** Evidence is sent in datagrams of about this size, so that with the entry
 * that completes it a datagram fits a packet of 1,500 bytes. */
constexpr std::size_t kEvidenceBatchBytes = 900;
/** Within this time after a window's end every daemon sends its counts of the
 * window, each at a random time. If hundreds sent them at once, they would fill
 * the link of the daemon that reports them. */
constexpr Millis kWindowSendJitter{ 800 };
/** An engine's limit is sent within this time of the response that named it, at
 * a random time. Many daemons get such a response at once, and the first report
 * saves the others theirs. */
constexpr std::uint64_t kLimitSendJitterMs = 100;
/** That a response has cleared a suspect is sent within this time, at a random
 * time, for the same reason. */
constexpr std::uint64_t kClearedSendJitterMs = 100;
/** Evidence about a target is sent within this time, at a random time. */
constexpr std::uint64_t kEvidenceJitterMs = 200;
/** The daemons' estimates of cluster time differ by less than this. */
constexpr Millis kMaxClockSkew{ 50 };

} // namespace

PeerMessenger::PeerMessenger(ServingState& aState)
  : state(aState)
  , traffic(aState)
  , permits(
      aState,
      [this](const serving::Datagram& aDatagram, const std::string& aAddress) {
        this->SendDatagram(aDatagram, { aAddress });
      })
  , socket(aState.pool.First().context)
{
}

Result<void>
PeerMessenger::Start()
{
  boost::system::error_code error;
  const auto address =
    net::ip::make_address(this->state.settings.address, error);
  const udp::endpoint localEndpoint(address, this->state.settings.peerPort);
  this->socket.open(localEndpoint.protocol(), error);
  if (!error) {
    this->socket.bind(localEndpoint, error);
  }
  if (!error) {
    this->socket.non_blocking(true, error);
  }
  if (error) {
    return Fail(ErrorCode::eUnavailable,
                "cannot open the peer port: " + error.message());
  }
  this->state.sendPromptNotice = [this](const InstanceId& aBackend,
                                        std::int64_t aPromptTokens,
                                        const std::string& aSharedSection) {
    this->SendPromptNotice(aBackend, aPromptTokens, aSharedSection);
  };
  this->state.requestPermit = [this](InstanceId aBackend, DaemonId aOwner) {
    return this->permits.Request(std::move(aBackend), std::move(aOwner));
  };
  this->state.sendQuota = [this](const TeamId& aTeam) {
    this->SendQuota(aTeam);
  };
  this->state.sendRateLimits = [this] {
    if (!this->limitsSendPending) {
      this->limitsSendPending = true;
      this->state.pool.First().Spawn(this->SendRateLimits());
    }
  };
  this->state.sendUsageReports = [this] {
    serving::Datagram datagram;
    *datagram.mutable_usage_reports()->mutable_reports() =
      MakeReportableLedger(this->state).reported();
    this->SendDatagram(datagram, this->state.peers.Addresses());
  };
  this->state.sendStoreEra = [this] {
    serving::Datagram datagram;
    serving::StoreEraReport& report = *datagram.mutable_store_era();
    report.set_id(this->state.settings.id.value);
    report.set_era(this->state.storeEra.value_or(StoreEra{}).value);
    this->SendDatagram(datagram, this->state.peers.Addresses());
  };
  this->state.sendRolloutReports = [this] {
    serving::Datagram datagram;
    *datagram.mutable_rollouts() = MakeRolloutReports(this->state);
    this->SendDatagram(datagram, this->state.peers.Addresses());
  };
  this->state.sendEvidence = [this] {
    if (!this->evidenceSendPending) {
      this->evidenceSendPending = true;
      this->state.pool.First().Spawn(this->SendTargetEvidence());
    }
  };
  this->state.requestTrial = [this](SuspectId aSuspect, DaemonId aOwner) {
    return this->permits.RequestTrial(aSuspect, std::move(aOwner));
  };
  this->state.sendSuspects = [this] {
    LogSuspectChanges(this->state);
    this->SendSuspects(this->state.crashSuspects.TakeUrgent());
    const bool mustSchedule =
      this->state.crashSuspects.HasCleared() && !this->clearedSendPending;
    if (mustSchedule) {
      this->clearedSendPending = true;
      this->state.pool.First().Spawn(this->SendClearedSuspects());
    }
  };
  this->state.sendReach = [this] {
    serving::Datagram datagram;
    serving::ReachReport& report = *datagram.mutable_reach();
    report.set_id(this->state.settings.id.value);
    report.set_life(this->state.incarnation);
    report.set_engines_lost(this->state.engineReach.IsCut());
    this->SendDatagram(datagram, this->state.peers.Addresses());
  };
  this->state.sendStoreRead = [this](const serving::StoreReadReport& aReport) {
    serving::Datagram datagram;
    *datagram.mutable_store() = aReport;
    this->SendDatagram(datagram, this->state.peers.Addresses());
  };
  Worker& worker = this->state.pool.First();
  worker.Spawn(this->ReceiveDatagrams());
  worker.Spawn(this->SendHeartbeats());
  worker.Spawn(this->SyncMembers());
  worker.Spawn(this->SendEndedWindows());
  worker.Spawn(SyncBlockedSuspects(this->state));
  return {};
}

void
PeerMessenger::SendPromptNotice(const InstanceId& aBackend,
                                std::int64_t aPromptTokens,
                                const std::string& aSharedSection)
{
  const bool reported = aPromptTokens >= kMinNoticeTokens &&
                        this->state.DaemonCount() <= kMaxNoticeDaemons;
  if (!reported) {
    return;
  }
  serving::Datagram datagram;
  datagram.mutable_sent()->set_id(this->state.settings.id.value);
  datagram.mutable_sent()->set_backend(aBackend.value);
  datagram.mutable_sent()->set_prompt_tokens(aPromptTokens);
  datagram.mutable_sent()->set_shared_part(aSharedSection);
  this->SendDatagram(datagram, this->state.peers.Addresses());
}

Task<void>
PeerMessenger::SendTargetEvidence()
{
  co_await Sleep(Millis(this->state.random.NextBelow(kEvidenceJitterMs)));
  this->evidenceSendPending = false;
  serving::Datagram datagram;
  for (const Rollout& rollout : this->state.rollouts.Active()) {
    for (peer::Evidence& evidence : this->state.evidence.LocalEvidence(
           rollout.order.position, ServingState::Now())) {
      if (evidence.version() == rollout.order.target.value) {
        *datagram.mutable_evidence()->add_evidence() = std::move(evidence);
      }
    }
  }
  if (datagram.has_evidence()) {
    this->SendDatagram(
      datagram, this->state.peers.DutyCandidateAddresses(ServingState::Now()));
  }
}

void
PeerMessenger::SendSuspects(const std::vector<SuspectReport>& aReports)
{
  for (const serving::Datagram& datagram : MakeSuspectDatagrams(aReports)) {
    this->SendDatagram(datagram, this->state.peers.Addresses());
  }
}

Task<void>
PeerMessenger::SendClearedSuspects()
{
  co_await Sleep(Millis(this->state.random.NextBelow(kClearedSendJitterMs)));
  this->clearedSendPending = false;
  this->SendSuspects(this->state.crashSuspects.TakeCleared());
}

Task<void>
PeerMessenger::SendRateLimits()
{
  co_await Sleep(Millis(this->state.random.NextBelow(kLimitSendJitterMs)));
  this->limitsSendPending = false;
  serving::Datagram datagram;
  *datagram.mutable_limits() = TakeUrgentLimits(this->state);
  if (datagram.limits().limits_size() > 0) {
    this->SendDatagram(datagram, this->state.peers.Addresses());
  }
}

Task<void>
PeerMessenger::SendEndedWindows()
{
  while (true) {
    const std::uint64_t window =
      this->state.usage.WindowAt(this->state.ClusterTimeMs());
    const Millis untilEnd(this->state.usage.WindowEnd(window) -
                          this->state.ClusterTimeMs());
    const Millis delay(this->state.random.NextBelow(
      static_cast<std::uint64_t>(kWindowSendJitter.count())));
    co_await Sleep(untilEnd + kMaxClockSkew + delay);
    serving::Datagram datagram;
    *datagram.mutable_ledger() = MakeWindowLedger(this->state, window);
    const TimePoint now = ServingState::Now();
    this->SendDatagram(datagram, this->state.peers.DutyCandidateAddresses(now));
  }
}

void
PeerMessenger::SendEvidence(const std::vector<std::string>& aCandidates)
{
  serving::Datagram batch;
  for (const Rollout& rollout : this->state.rollouts.Active()) {
    for (peer::Evidence& evidence : this->state.evidence.LocalEvidence(
           rollout.order.position, ServingState::Now())) {
      *batch.mutable_evidence()->add_evidence() = std::move(evidence);
      if (batch.ByteSizeLong() >= kEvidenceBatchBytes) {
        this->SendDatagram(batch, aCandidates);
        batch.Clear();
      }
    }
  }
  if (batch.has_evidence()) {
    this->SendDatagram(batch, aCandidates);
  }
}

void
PeerMessenger::SendQuota(const TeamId& aTeam)
{
  serving::Datagram datagram;
  *datagram.mutable_quota() = MakeTeamQuotaReport(this->state, aTeam);
  this->SendDatagram(datagram, this->state.peers.Addresses());
}

void
PeerMessenger::RequestQuotas()
{
  serving::Datagram datagram;
  *datagram.mutable_quota() = MakeQuotaReport(this->state);
  datagram.mutable_quota()->set_ask(true);
  this->SendDatagram(datagram, this->state.peers.Addresses());
}

Millis
PeerMessenger::NextInterval()
{
  const Millis mean = MeanInterval(this->state.DaemonCount());
  const auto jitterRange =
    static_cast<std::uint64_t>(mean.count()) / kJitterDivisor;
  return mean - Millis(jitterRange / 2) +
         Millis(this->state.random.NextBelow(jitterRange));
}

void
PeerMessenger::SendDatagram(const serving::Datagram& aDatagram,
                            const std::vector<std::string>& aAddresses)
{
  const std::string bytes = aDatagram.SerializeAsString();
  this->traffic.RecordSent(aDatagram, bytes.size(), aAddresses.size());
  for (const std::string& address : aAddresses) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      continue;
    }
    boost::system::error_code error;
    this->socket.send_to(net::buffer(bytes),
                         udp::endpoint(endpoint->address(), endpoint->port()),
                         0,
                         error);
    if (error) {
      this->state.metrics.Count("toucanshed_unsent_words_total");
    }
  }
}

void
PeerMessenger::UpdateFromPeers(TimePoint aNow)
{
  this->state.CheckForPause();
  this->traffic.LogIfDue(aNow);
  this->state.peers.Expire(aNow);
  this->state.quotaExchange.Expire(aNow);
  this->state.crashSuspects.Expire(this->state.ClusterNow());
  this->state.limitShares.SetPeerTimeout(this->state.peers.PeerTimeout());
  this->state.limitShares.Expire(aNow);
  this->state.engineLimits.Expire(aNow);
  this->state.rejectionLimits.Expire(aNow);
  DropExpiredBackends(this->state, aNow);
  EndMissingDrains(this->state, aNow);
  this->state.backends.SetRemoteLoads(this->state.peers.Loads(aNow), aNow);
  this->state.queues.Notify();
  this->state.UpdateQuotas(aNow);
}

void
PeerMessenger::SendToDutyCandidates(TimePoint aNow)
{
  const auto candidates = this->state.peers.DutyCandidateAddresses(aNow);
  serving::Datagram counts;
  *counts.mutable_ledger() = MakeReportableLedger(this->state);
  this->SendDatagram(counts, candidates);
  this->SendEvidence(candidates);
}

Task<void>
PeerMessenger::SendHeartbeats()
{
  while (true) {
    const Millis interval = this->NextInterval();
    const auto batches = this->state.peers.AddressBatches(kMaxFanout);
    this->SendToDutyCandidates(ServingState::Now());
    for (const std::vector<std::string>& batch : batches) {
      co_await Sleep(interval / static_cast<std::int64_t>(batches.size()));
      this->UpdateFromPeers(ServingState::Now());
      serving::Datagram datagram;
      *datagram.mutable_word() = MakeHeartbeat(this->state, ++this->sequence);
      this->SendDatagram(datagram, batch);
    }
  }
}

Task<void>
PeerMessenger::SyncMembers()
{
  serving::MemberRecord ownMember;
  ownMember.set_id(this->state.settings.id.value);
  ownMember.set_life(this->state.incarnation);
  ownMember.set_address(PeerAddress(this->state));
  const std::string record = this->state.wire.store.keyedRecord(
    this->state.settings.id.value, ownMember.SerializeAsString());
  std::optional<StoreEra> registeredIn;
  bool quotasRequested = false;
  while (true) {
    if (!this->IsRegistered(registeredIn)) {
      const auto appended =
        co_await AppendToStore(this->state, StoreTopic::eMembers, record);
      registeredIn =
        appended ? std::optional<StoreEra>(appended->era) : std::nullopt;
    }
    const auto members = co_await ReadLatest(this->state, StoreTopic::eMembers);
    if (members) {
      for (const KeyedRecord& entry : members->records) {
        serving::MemberRecord member;
        if (entry.value && member.ParseFromString(*entry.value)) {
          const DaemonId id{ member.id() };
          this->state.peers.AddPeer(id, member.address());
          this->state.quotaExchange.AddPeer(id, ServingState::Now());
          // Only the first read counts the listed daemons: later ones are known
          // by their heartbeats, and the list still names daemons that are gone
          // for good.
          if (!quotasRequested) {
            this->state.limitShares.AddPeer(id, ServingState::Now());
          }
        }
      }
      this->state.peers.MarkListRead();
      this->state.quotaExchange.MarkListRead();
      this->state.limitShares.MarkListRead();
      if (!quotasRequested) {
        quotasRequested = true;
        this->RequestQuotas();
      }
    }
    if (!members || !this->IsRegistered(registeredIn)) {
      co_await Sleep(kMembersRetryInterval);
      continue;
    }
    const TimePoint next = ServingState::Now() + kMembersSyncInterval;
    while (ServingState::Now() < next && this->IsRegistered(registeredIn)) {
      co_await Sleep(kMembersRetryInterval);
    }
    // In a new era all daemons write their entries again.
    co_await Sleep(Millis(this->state.random.NextBelow(
      1 + kMembersJitterMsPerDaemon * this->state.DaemonCount())));
  }
}

bool
PeerMessenger::IsRegistered(std::optional<StoreEra> aIn) const
{
  return aIn && this->state.storeEra.value_or(*aIn) == *aIn;
}

} // namespace toucanshed
