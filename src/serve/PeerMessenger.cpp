#include "PeerMessenger.h"

#include "BackendList.h"
#include "PeerReports.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "StoreWatcher.h"
#include "edge/Worker.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanshed {

namespace net = boost::asio;
using net::ip::udp;

namespace {

/** The daemons' addresses are read again this often. Of two daemons the one
 * that reads them later finds the other's, and goes on speaking to it, so this
 * only finds again who was silent for so long that it was forgotten. */
constexpr Millis kMembersSyncInterval = PeerTable::kPeerRetention;
constexpr Millis kMembersRetryInterval{ 500 };
/** Larger than any word of a hundred back ends. */
constexpr std::size_t kMaxDatagramBytes = 60000;
/** Evidence is told in datagrams of about this size, so that with the entry
 * that completes one it fits a packet of 1,500 bytes. */
constexpr std::size_t kEvidenceBatchBytes = 900;
/** Within so long after a window's end every daemon tells what it has counted
 * in it, each at a time of its own: told at once by hundreds, it would fill the
 * link of the daemon that reports it. */
constexpr Millis kWindowSendJitter{ 800 };
/** An engine's limit is told within so long of the answer that named it, at a
 * random time: many daemons have such an answer at once, and the first word
 * spares the others theirs. */
constexpr std::uint64_t kLimitSendJitterMs = 100;
/** Daemons' ideas of true time differ by less than this. */
constexpr Millis kMaxClockSkew{ 50 };

} // namespace

PeerMessenger::PeerMessenger(ServingState& aState)
  : state(aState)
  , socket(aState.pool.First().context)
{
}

Result<void>
PeerMessenger::Start()
{
  boost::system::error_code error;
  const auto address =
    net::ip::make_address(this->state.settings.address, error);
  const udp::endpoint own(address, this->state.settings.peerPort);
  this->socket.open(own.protocol(), error);
  this->socket.bind(own, error);
  this->socket.non_blocking(true, error);
  if (error) {
    return Fail(ErrorCode::eUnavailable,
                "cannot open the peer port: " + error.message());
  }
  this->state.sendPromptNotice = [this](const InstanceId& aBackend,
                                        std::int64_t aPromptTokens,
                                        const std::string& aSharedPart) {
    this->SendPromptNotice(aBackend, aPromptTokens, aSharedPart);
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
  this->state.sendStoreRead = [this](const serving::StoreReadReport& aWord) {
    serving::Datagram datagram;
    *datagram.mutable_store() = aWord;
    this->SendDatagram(datagram, this->state.peers.Addresses());
  };
  Worker& worker = this->state.pool.First();
  worker.Spawn(this->ReceiveDatagrams());
  worker.Spawn(this->SendHeartbeats());
  worker.Spawn(this->SyncMembers());
  worker.Spawn(this->SendEndedWindows());
  return {};
}

Task<void>
PeerMessenger::ReceiveDatagrams()
{
  std::vector<char> buffer(kMaxDatagramBytes);
  udp::endpoint from;
  while (true) {
    boost::system::error_code error;
    const std::size_t size = co_await this->socket.async_receive_from(
      net::buffer(buffer),
      from,
      net::redirect_error(net::use_awaitable, error));
    serving::Datagram datagram;
    const bool whole =
      !error && datagram.ParseFromArray(buffer.data(), static_cast<int>(size));
    if (whole) {
      this->HandleDatagram(datagram);
    } else {
      this->state.metrics.Count("toucanshed_unreadable_words_total");
    }
  }
}

void
PeerMessenger::HandleDatagram(const serving::Datagram& aDatagram)
{
  if (aDatagram.has_word()) {
    this->HandleHeartbeat(aDatagram.word());
  }
  if (aDatagram.has_ledger()) {
    this->state.peers.ReceiveLedger(aDatagram.ledger());
  }
  for (const peer::Evidence& evidence : aDatagram.evidence().evidence()) {
    this->state.evidence.Merge(evidence);
  }
  if (aDatagram.has_quota()) {
    this->HandleQuotaReport(aDatagram.quota());
  }
  for (const serving::RateLimitState& limit : aDatagram.limits().limits()) {
    this->HandleRateLimit(limit, aDatagram.limits().id());
  }
  if (aDatagram.has_store()) {
    ApplyStoreReadReport(this->state, aDatagram.store());
  }
  if (aDatagram.has_sent()) {
    const serving::PromptNotice& sent = aDatagram.sent();
    this->state.peers.ReceiveSendNotice(sent);
    this->state.prefixCacheIndex.RecordUse(
      sent.shared_part(), InstanceId{ sent.backend() }, ServingState::Now());
    Backend* backend = this->state.backends.Find(InstanceId{ sent.backend() });
    if (backend != nullptr) {
      backend->remoteLoad.running += 1;
      backend->remoteLoad.promptTokens += sent.prompt_tokens();
    }
  }
}

void
PeerMessenger::SendPromptNotice(const InstanceId& aBackend,
                                std::int64_t aPromptTokens,
                                const std::string& aSharedPart)
{
  const bool told = aPromptTokens >= kMinNoticeTokens &&
                    this->state.DaemonCount() <= kMaxNoticeDaemons;
  if (!told) {
    return;
  }
  serving::Datagram datagram;
  datagram.mutable_sent()->set_id(this->state.settings.id.value);
  datagram.mutable_sent()->set_backend(aBackend.value);
  datagram.mutable_sent()->set_prompt_tokens(aPromptTokens);
  datagram.mutable_sent()->set_shared_part(aSharedPart);
  this->SendDatagram(datagram, this->state.peers.Addresses());
}

void
PeerMessenger::HandleHeartbeat(const serving::DaemonHeartbeat& aWord)
{
  const TimePoint now = ServingState::Now();
  if (!this->state.peers.ReceiveHeartbeat(aWord, now)) {
    return;
  }
  this->state.limitShares.RecordHeartbeat(DaemonId{ aWord.id() }, now);
  for (const serving::RateLimitState& limit : aWord.limits()) {
    this->HandleRateLimit(limit, aWord.id());
  }
  this->state.quotaExchange.ReceiveReport(
    aWord.quota(), QuotaReportTiming::ePeriodic, now);
  for (const serving::BackendState& backend : aWord.backends()) {
    if (backend.leaving()) {
      this->state.backends.MarkLeaving(InstanceId{ backend.id() });
    }
  }
  for (const serving::FactState& fact : aWord.facts()) {
    FactEntry entry;
    entry.key = fact.key();
    entry.expires = now + Millis(fact.remaining_ms());
    this->state.facts.Add(std::move(entry), now);
  }
}

void
PeerMessenger::HandleRateLimit(const serving::RateLimitState& aWord,
                               const std::string& aFrom)
{
  const InstanceId id{ aWord.backend() };
  const Backend* backend = this->state.backends.Find(id);
  const bool sameLife =
    backend != nullptr && backend->entry.incarnation == aWord.born();
  if (!sameLife) {
    return;
  }
  const TimePoint now = ServingState::Now();
  const LimitUpdate news{ id,
                          aWord.born(),
                          RequestRate{ aWord.per_s() },
                          aWord.ended(),
                          now - Millis(aWord.age_ms()) };
  if (this->state.engineLimits.ReceiveUpdate(news, now)) {
    this->state.log.Emit(
      Event("backend.limit")
        .With("backend", id)
        .With("per_s",
              news.ended ? "none" : std::to_string(news.rate.perSecond))
        .With("from", aFrom)
        .With("answer_ms_ago", aWord.age_ms()));
  }
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
    const Millis left(this->state.usage.WindowEnd(window) -
                      this->state.ClusterTimeMs());
    const Millis turn(this->state.random.NextBelow(
      static_cast<std::uint64_t>(kWindowSendJitter.count())));
    co_await Sleep(left + kMaxClockSkew + turn);
    serving::Datagram datagram;
    *datagram.mutable_ledger() = MakeWindowLedger(this->state, window);
    const TimePoint now = ServingState::Now();
    this->SendDatagram(datagram, this->state.peers.DutyCandidateAddresses(now));
  }
}

void
PeerMessenger::SendEvidence(const std::vector<std::string>& aKeepers)
{
  serving::Datagram part;
  for (const Rollout& move : this->state.rollouts.Active()) {
    for (peer::Evidence& own :
         this->state.evidence.LocalEvidence(move.order.position)) {
      *part.mutable_evidence()->add_evidence() = std::move(own);
      if (part.ByteSizeLong() >= kEvidenceBatchBytes) {
        this->SendDatagram(part, aKeepers);
        part.Clear();
      }
    }
  }
  if (part.has_evidence()) {
    this->SendDatagram(part, aKeepers);
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

void
PeerMessenger::HandleQuotaReport(const serving::QuotaReport& aWord)
{
  this->state.quotaExchange.ReceiveReport(
    aWord, QuotaReportTiming::eImmediate, ServingState::Now());
  if (!aWord.ask()) {
    return;
  }
  serving::Datagram answer;
  *answer.mutable_quota() = MakeQuotaReport(this->state);
  this->SendDatagram(answer, { aWord.address() });
}

Millis
PeerMessenger::NextInterval()
{
  const Millis mean = MeanInterval(this->state.DaemonCount());
  const auto spread = static_cast<std::uint64_t>(mean.count()) / kJitterDivisor;
  return mean - Millis(spread / 2) +
         Millis(this->state.random.NextBelow(spread));
}

void
PeerMessenger::SendDatagram(const serving::Datagram& aDatagram,
                            const std::vector<std::string>& aAddresses)
{
  const std::string bytes = aDatagram.SerializeAsString();
  this->state.metrics.Count(
    "toucanshed_peer_bytes_total", "", bytes.size() * aAddresses.size());
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
  this->state.peers.Expire(aNow);
  this->state.quotaExchange.Expire(aNow);
  this->state.facts.Expire(aNow);
  this->state.limitShares.SetPeerTimeout(this->state.peers.PeerTimeout());
  this->state.limitShares.Expire(aNow);
  this->state.engineLimits.Expire(aNow);
  DropExpiredBackends(this->state, aNow);
  this->state.backends.SetRemoteLoads(this->state.peers.Loads(aNow));
  this->state.UpdateQuotas(aNow);
}

void
PeerMessenger::SendToDutyCandidates(TimePoint aNow)
{
  const auto keepers = this->state.peers.DutyCandidateAddresses(aNow);
  serving::Datagram counts;
  *counts.mutable_ledger() = MakeReportableLedger(this->state);
  this->SendDatagram(counts, keepers);
  this->SendEvidence(keepers);
}

Task<void>
PeerMessenger::SendHeartbeats()
{
  while (true) {
    const Millis interval = this->NextInterval();
    const auto parts = this->state.peers.AddressBatches(kMaxFanout);
    this->SendToDutyCandidates(ServingState::Now());
    for (const std::vector<std::string>& part : parts) {
      co_await Sleep(interval / static_cast<std::int64_t>(parts.size()));
      this->UpdateFromPeers(ServingState::Now());
      serving::Datagram datagram;
      *datagram.mutable_word() = MakeHeartbeat(this->state, ++this->sequence);
      this->SendDatagram(datagram, part);
    }
  }
}

Task<void>
PeerMessenger::SyncMembers()
{
  serving::MemberRecord own;
  own.set_id(this->state.settings.id.value);
  own.set_life(this->state.incarnation);
  own.set_address(PeerAddress(this->state));
  const std::string record = this->state.wire.store.keyedRecord(
    this->state.settings.id.value, own.SerializeAsString());
  bool written = false;
  bool asked = false; // the others how the limits are used
  while (true) {
    if (!written) {
      const auto appended =
        co_await AppendToStore(this->state, StoreTopic::eMembers, record);
      written = appended.has_value();
    }
    const auto members = co_await ReadLatest(this->state, StoreTopic::eMembers);
    if (members) {
      for (const KeyedRecord& entry : members->records) {
        serving::MemberRecord member;
        if (entry.value && member.ParseFromString(*entry.value)) {
          const DaemonId id{ member.id() };
          this->state.peers.AddPeer(id, member.address());
          this->state.quotaExchange.AddPeer(id, ServingState::Now());
          // Later on daemons are known by their words, and the list still has
          // those that are gone for good.
          if (!asked) {
            this->state.limitShares.AddPeer(id, ServingState::Now());
          }
        }
      }
      this->state.peers.MarkListRead();
      this->state.quotaExchange.MarkListRead();
      this->state.limitShares.MarkListRead();
      if (!asked) {
        asked = true;
        this->RequestQuotas();
      }
    }
    co_await Sleep(written && members ? kMembersSyncInterval
                                      : kMembersRetryInterval);
  }
}

} // namespace toucanshed
