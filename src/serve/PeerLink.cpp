#include "PeerLink.h"

#include "BackendList.h"
#include "PeerWords.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "StoreFeed.h"
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
constexpr Millis kMeetEvery = PeerTable::kForgotten;
constexpr Millis kMeetRetry{ 500 };
/** Larger than any word of a hundred back ends. */
constexpr std::size_t kMostWordBytes = 60000;
/** Evidence is told in datagrams of about this size, so that with the entry
 * that completes one it fits a packet of 1,500 bytes. */
constexpr std::size_t kPartBytes = 900;
/** Within so long after a window's end every daemon tells what it has counted
 * in it, each at a time of its own: told at once by hundreds, it would fill the
 * link of the daemon that reports it. */
constexpr Millis kEndTold{ 800 };
/** An engine's limit is told within so long of the answer that named it, at a
 * random time: many daemons have such an answer at once, and the first word
 * spares the others theirs. */
constexpr std::uint64_t kLimitToldMs = 100;
/** Daemons' ideas of true time differ by less than this. */
constexpr Millis kClocksDiffer{ 50 };

} // namespace

PeerLink::PeerLink(ServingState& aState)
  : state(aState)
  , socket(aState.pool.First().context)
{
}

Result<void>
PeerLink::Start()
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
  this->state.tellSent = [this](const InstanceId& aBackend,
                                std::int64_t aPromptTokens,
                                const std::string& aSharedPart) {
    this->TellSent(aBackend, aPromptTokens, aSharedPart);
  };
  this->state.tellQuota = [this](const TeamId& aTeam) {
    this->TellQuota(aTeam);
  };
  this->state.tellLimits = [this] {
    if (!this->tellsLimits) {
      this->tellsLimits = true;
      this->state.pool.First().Spawn(this->TellLimits());
    }
  };
  this->state.tellStore = [this](const serving::StoreWord& aWord) {
    serving::Datagram datagram;
    *datagram.mutable_store() = aWord;
    this->Say(datagram, this->state.peers.Addresses());
  };
  Worker& worker = this->state.pool.First();
  worker.Spawn(this->Listen());
  worker.Spawn(this->Speak());
  worker.Spawn(this->Meet());
  worker.Spawn(this->TellEndedWindows());
  return {};
}

Task<void>
PeerLink::Listen()
{
  std::vector<char> buffer(kMostWordBytes);
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
      this->Take(datagram);
    } else {
      this->state.metrics.Count("toucanshed_unreadable_words_total");
    }
  }
}

void
PeerLink::Take(const serving::Datagram& aDatagram)
{
  if (aDatagram.has_word()) {
    this->TakeWord(aDatagram.word());
  }
  if (aDatagram.has_ledger()) {
    this->state.peers.HearLedger(aDatagram.ledger());
  }
  for (const peer::Evidence& evidence : aDatagram.evidence().evidence()) {
    this->state.evidence.Merge(evidence);
  }
  if (aDatagram.has_quota()) {
    this->TakeQuota(aDatagram.quota());
  }
  for (const serving::LimitWord& limit : aDatagram.limits().limits()) {
    this->TakeLimit(limit, aDatagram.limits().id());
  }
  if (aDatagram.has_store()) {
    TakeStoreWord(this->state, aDatagram.store());
  }
  if (aDatagram.has_sent()) {
    const serving::SendNotice& sent = aDatagram.sent();
    this->state.peers.HearSent(sent);
    this->state.prefixes.Note(
      sent.shared_part(), InstanceId{ sent.backend() }, ServingState::Now());
    Backend* backend = this->state.backends.Find(InstanceId{ sent.backend() });
    if (backend != nullptr) {
      backend->others.running += 1;
      backend->others.promptTokens += sent.prompt_tokens();
    }
  }
}

void
PeerLink::TellSent(const InstanceId& aBackend,
                   std::int64_t aPromptTokens,
                   const std::string& aSharedPart)
{
  const bool told =
    aPromptTokens >= kNoticedTokens && this->state.Daemons() <= kMostNoticed;
  if (!told) {
    return;
  }
  serving::Datagram datagram;
  datagram.mutable_sent()->set_id(this->state.settings.id.value);
  datagram.mutable_sent()->set_backend(aBackend.value);
  datagram.mutable_sent()->set_prompt_tokens(aPromptTokens);
  datagram.mutable_sent()->set_shared_part(aSharedPart);
  this->Say(datagram, this->state.peers.Addresses());
}

void
PeerLink::TakeWord(const serving::DaemonWord& aWord)
{
  const TimePoint now = ServingState::Now();
  if (!this->state.peers.Hear(aWord, now)) {
    return;
  }
  this->state.limitSharers.Hear(DaemonId{ aWord.id() }, now);
  for (const serving::LimitWord& limit : aWord.limits()) {
    this->TakeLimit(limit, aWord.id());
  }
  this->state.quotaExchange.Hear(aWord.quota(), QuotaTelling::eRegular, now);
  for (const serving::BackendWord& backend : aWord.backends()) {
    if (backend.leaving()) {
      this->state.backends.MarkLeaving(InstanceId{ backend.id() });
    }
  }
  for (const serving::FactWord& fact : aWord.facts()) {
    FactEntry entry;
    entry.key = fact.key();
    entry.expires = now + Millis(fact.remaining_ms());
    this->state.facts.Add(std::move(entry), now);
  }
}

void
PeerLink::TakeLimit(const serving::LimitWord& aWord, const std::string& aFrom)
{
  const InstanceId id{ aWord.backend() };
  const Backend* backend = this->state.backends.Find(id);
  const bool sameLife =
    backend != nullptr && backend->entry.born == aWord.born();
  if (!sameLife) {
    return;
  }
  const TimePoint now = ServingState::Now();
  const LimitNews news{ id,
                        aWord.born(),
                        RequestRate{ aWord.per_s() },
                        aWord.ended(),
                        now - Millis(aWord.age_ms()) };
  if (this->state.engineLimits.Told(news, now)) {
    this->state.log.Emit(
      Event("backend.limit")
        .With("backend", id)
        .With("per_s", news.ended ? "none" : std::to_string(news.rate.perS))
        .With("from", aFrom)
        .With("answer_ms_ago", aWord.age_ms()));
  }
}

Task<void>
PeerLink::TellLimits()
{
  co_await Sleep(Millis(this->state.random.Below(kLimitToldMs)));
  this->tellsLimits = false;
  serving::Datagram datagram;
  *datagram.mutable_limits() = UrgentLimits(this->state);
  if (datagram.limits().limits_size() > 0) {
    this->Say(datagram, this->state.peers.Addresses());
  }
}

Task<void>
PeerLink::TellEndedWindows()
{
  while (true) {
    const std::uint64_t window =
      this->state.usage.WindowAt(this->state.TrueMs());
    const Millis left(this->state.usage.EndOf(window) - this->state.TrueMs());
    const Millis turn(
      this->state.random.Below(static_cast<std::uint64_t>(kEndTold.count())));
    co_await Sleep(left + kClocksDiffer + turn);
    serving::Datagram datagram;
    *datagram.mutable_ledger() = LedgerOfWindow(this->state, window);
    const TimePoint now = ServingState::Now();
    this->Say(datagram, this->state.peers.KeeperAddresses(now));
  }
}

void
PeerLink::TellEvidence(const std::vector<std::string>& aKeepers)
{
  serving::Datagram part;
  for (const VersionMove& move : this->state.moves.Active()) {
    for (peer::Evidence& own : this->state.evidence.Own(move.order.position)) {
      *part.mutable_evidence()->add_evidence() = std::move(own);
      if (part.ByteSizeLong() >= kPartBytes) {
        this->Say(part, aKeepers);
        part.Clear();
      }
    }
  }
  if (part.has_evidence()) {
    this->Say(part, aKeepers);
  }
}

void
PeerLink::TellQuota(const TeamId& aTeam)
{
  serving::Datagram datagram;
  *datagram.mutable_quota() = QuotaOfTeam(this->state, aTeam);
  this->Say(datagram, this->state.peers.Addresses());
}

void
PeerLink::AskForQuotas()
{
  serving::Datagram datagram;
  *datagram.mutable_quota() = QuotaOfAll(this->state);
  datagram.mutable_quota()->set_ask(true);
  this->Say(datagram, this->state.peers.Addresses());
}

void
PeerLink::TakeQuota(const serving::QuotaWord& aWord)
{
  this->state.quotaExchange.Hear(
    aWord, QuotaTelling::eAtOnce, ServingState::Now());
  if (!aWord.ask()) {
    return;
  }
  serving::Datagram answer;
  *answer.mutable_quota() = QuotaOfAll(this->state);
  this->Say(answer, { aWord.address() });
}

Millis
PeerLink::Interval()
{
  const Millis mean = MeanInterval(this->state.Daemons());
  const auto spread = static_cast<std::uint64_t>(mean.count()) / kSpreadPart;
  return mean - Millis(spread / 2) + Millis(this->state.random.Below(spread));
}

void
PeerLink::Say(const serving::Datagram& aDatagram,
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
PeerLink::Refresh(TimePoint aNow)
{
  this->state.peers.Expire(aNow);
  this->state.quotaExchange.Expire(aNow);
  this->state.facts.Expire(aNow);
  this->state.limitSharers.SetSilence(this->state.peers.Silent());
  this->state.limitSharers.Expire(aNow);
  this->state.engineLimits.Expire(aNow);
  ExpireBackends(this->state, aNow);
  this->state.backends.SetOthers(this->state.peers.Loads(aNow));
  this->state.CountQuotaUse(aNow);
}

void
PeerLink::TellKeepers(TimePoint aNow)
{
  const auto keepers = this->state.peers.KeeperAddresses(aNow);
  serving::Datagram counts;
  *counts.mutable_ledger() = ReportableLedger(this->state);
  this->Say(counts, keepers);
  this->TellEvidence(keepers);
}

Task<void>
PeerLink::Speak()
{
  while (true) {
    const Millis interval = this->Interval();
    const auto parts = this->state.peers.AddressParts(kMostAtOnce);
    this->TellKeepers(ServingState::Now());
    for (const std::vector<std::string>& part : parts) {
      co_await Sleep(interval / static_cast<std::int64_t>(parts.size()));
      this->Refresh(ServingState::Now());
      serving::Datagram datagram;
      *datagram.mutable_word() = WordOf(this->state, ++this->sequence);
      this->Say(datagram, part);
    }
  }
}

Task<void>
PeerLink::Meet()
{
  serving::MemberRecord own;
  own.set_id(this->state.settings.id.value);
  own.set_life(this->state.life);
  own.set_address(PeerAddress(this->state));
  const std::string record = this->state.wire.store.keyed(
    this->state.settings.id.value, own.SerializeAsString());
  bool written = false;
  bool asked = false; // the others how the limits are used
  while (true) {
    if (!written) {
      const auto appended =
        co_await AppendToStore(this->state, StoreTopic::eMembers, record);
      written = appended.has_value();
    }
    const auto members = co_await ReadNewest(this->state, StoreTopic::eMembers);
    if (members) {
      for (const KeyedRecord& entry : members->records) {
        serving::MemberRecord member;
        if (entry.value && member.ParseFromString(*entry.value)) {
          const DaemonId id{ member.id() };
          this->state.peers.Learn(id, member.address());
          this->state.quotaExchange.Learn(id, ServingState::Now());
          // Later on daemons are known by their words, and the list still has
          // those that are gone for good.
          if (!asked) {
            this->state.limitSharers.Learn(id, ServingState::Now());
          }
        }
      }
      this->state.peers.Listed();
      this->state.quotaExchange.Listed();
      this->state.limitSharers.Listed();
      if (!asked) {
        asked = true;
        this->AskForQuotas();
      }
    }
    co_await Sleep(written && members ? kMeetEvery : kMeetRetry);
  }
}

} // namespace toucanshed
