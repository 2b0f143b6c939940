// The part of RequestForwarder that sends a request through another daemon
// while this one reaches no engine or may send to none. RequestForwarder.cpp
// has the decisions before and after it.
#include "RequestForwarder.h"

#include "RelayFields.h"
#include "ServingState.h"

#include <algorithm>

namespace toucanshed {

namespace {

/** Daemons that a request is handed to. Each that does not run it costs the
 * caller a few milliseconds; more than a few full ones mean that all are. */
constexpr std::size_t kMaxPeers = 3;
/** Back ends of which the daemons with a part of the limit are looked up. More
 * would cost too much where there are thousands. */
constexpr std::size_t kSampledBackends = 8;

/** Counts a request as in progress at another daemon. */
class PeerSendGuard
{
public:
  PeerSendGuard(RelayChoice& aChoice, DaemonId aPeer)
    : choice(aChoice)
    , peer(std::move(aPeer))
  {
    this->choice.RecordSend(this->peer);
  }
  ~PeerSendGuard() { this->choice.RecordEnd(this->peer); }
  PeerSendGuard(const PeerSendGuard&) = delete;
  PeerSendGuard& operator=(const PeerSendGuard&) = delete;

private:
  RelayChoice& choice;
  DaemonId peer;
};

} // namespace

bool
RequestForwarder::MayRelayThrough(const ZoneId& aZone) const
{
  const auto& regions = this->state.settings.regionOfZone;
  const auto own = regions.find(this->state.settings.zone);
  const auto other = regions.find(aZone);
  const bool sameRegion = own == regions.end() || other == regions.end() ||
                          own->second == other->second;
  return sameRegion || this->IsRegionAllowed(aZone);
}

bool
RequestForwarder::IsBeyondOwnParts() const
{
  const bool limited = this->waitReason == GateRefusal::eRateLimited ||
                       this->waitReason == GateRefusal::eBrittle;
  return this->allRefused && limited && !this->request.relayed;
}

void
RequestForwarder::KeepPartHolders(
  std::vector<RelayCandidate>& aCandidates) const
{
  const std::vector<Backend*> backends =
    this->state.backends.ForService(this->request.service);
  const TimePoint now = ServingState::Now();
  std::set<DaemonId> holders;
  for (std::size_t i = 0; i < kSampledBackends && !backends.empty(); ++i) {
    const InstanceId& id =
      backends[this->state.random.NextBelow(backends.size())]->entry.id;
    for (const EngineLimits* limits :
         { &this->state.engineLimits, &this->state.rejectionLimits }) {
      const auto others = limits->OtherHolders(id, now);
      holders.insert(others.begin(), others.end());
    }
  }
  const auto holdsNone = [&](const RelayCandidate& aCandidate) {
    return !holders.contains(aCandidate.id);
  };
  const bool any =
    !std::all_of(aCandidates.begin(), aCandidates.end(), holdsNone);
  if (any) {
    std::erase_if(aCandidates, holdsNone);
  }
}

std::optional<RelayCandidate>
RequestForwarder::ChoosePeer()
{
  const bool mayRelay =
    !this->request.relayed &&
    (this->beyondOwnParts || this->state.engineReach.IsCut());
  if (!mayRelay) {
    return std::nullopt;
  }
  const TimePoint now = ServingState::Now();
  std::vector<RelayCandidate> candidates =
    this->state.peers.RelayCandidates(now);
  const ZoneId& ownZone = this->state.settings.zone;
  bool refusedInZone = false;
  std::erase_if(candidates, [&](const RelayCandidate& aCandidate) {
    const bool tried = this->triedPeers.contains(aCandidate.id);
    refusedInZone = refusedInZone || (tried && aCandidate.zone == ownZone);
    return tried || !this->MayRelayThrough(aCandidate.zone);
  });
  if (this->beyondOwnParts) {
    this->KeepPartHolders(candidates);
  }
  return this->state.relayChoice.Choose(
    candidates, ownZone, !refusedInZone, this->state.random, now);
}

Task<RequestForwarder::Step>
RequestForwarder::TryPeer(RelayCandidate aPeer)
{
  if (this->triedPeers.size() >= kMaxPeers || !this->TakeSendAttempt()) {
    co_return Step::eGiveUp;
  }
  this->triedPeers.insert(aPeer.id);
  this->peer = aPeer.id;
  this->lastOutcome = co_await this->SendToPeer(aPeer);
  if (this->lastOutcome != SendOutcome::eResponded) {
    this->LogSend(Placement{}, this->lastOutcome, this->lastFailure);
  }
  this->peer = DaemonId{};
  co_return Step::eSent;
}

Task<SendOutcome>
RequestForwarder::SendToPeer(RelayCandidate aPeer)
{
  const auto endpoint = ParseEndpoint(aPeer.address);
  if (!endpoint) {
    this->lastFailure = "address of the daemon cannot be read";
    this->ReturnUnsentRetry();
    co_return SendOutcome::eNotRun;
  }
  this->BeginSend(Placement{});
  const PeerSendGuard guard(this->state.relayChoice, aPeer.id);
  this->state.metrics.Count("toucanshed_requests_relayed_total");
  RelayTerms terms;
  terms.from = this->state.settings.id;
  terms.timeLeft = this->TimeLeft();
  terms.catalogVersion = this->request.catalog->version;
  terms.resumeAfter = this->splitter.LastId();
  const HttpRequest& original = *this->request.incoming.message;
  HttpRequest message{ http::request_header<>(original.base()) };
  WriteRelayTerms(terms, message);
  auto exchange = co_await HttpExchange::Open(this->state.pool.First(),
                                              *endpoint,
                                              std::move(message),
                                              this->SendTimeouts(),
                                              false,
                                              this->abort,
                                              nullptr,
                                              original.body());
  SendOutcome outcome = SendOutcome::eNotRun;
  if (exchange) {
    this->retryInFlight.reset();
    outcome = co_await this->RelayFromPeer(*exchange, aPeer.id);
    exchange->CloseConnection();
  } else {
    this->lastFailure = exchange.error().message;
    outcome = this->ClassifyError(exchange.error());
    if (outcome == SendOutcome::eNotRun) {
      --this->sends; // nothing was handed over
      this->ReturnUnsentRetry();
      this->state.relayChoice.RecordRefusal(aPeer.id, ServingState::Now());
    }
  }
  this->retryInFlight.reset();
  this->RecordPossibleRun(outcome);
  co_return outcome;
}

Task<SendOutcome>
RequestForwarder::RelayFromPeer(HttpExchange& aExchange, DaemonId aPeer)
{
  if (const auto outcome = ReadRelayOutcome(aExchange.Headers())) {
    this->sends =
      this->sends - 1 + outcome->sends; // those that were made there
    this->lastFailure =
      "daemon " + aPeer.value + ": " + std::to_string(aExchange.Status());
    if (outcome->kind == RelayOutcome::Kind::eMayHaveRun) {
      co_return SendOutcome::eMayHaveRun;
    }
    this->wait = outcome->retryAfter;
    this->allRefused = outcome->retryAfter.has_value();
    if (outcome->kind == RelayOutcome::Kind::eRefused) {
      this->state.relayChoice.RecordRefusal(aPeer, ServingState::Now());
    }
    co_return SendOutcome::eNotRun;
  }
  const BackendResponseHead head =
    this->state.wire.backends.read(aExchange.Status(), aExchange.Headers());
  if (head.attempt != this->request.incoming.attempt) {
    this->lastFailure = "answer of another request";
    co_return SendOutcome::eMayHaveRun;
  }
  const Placement none;
  co_return co_await this->RelayBody(aExchange, head, none);
}

} // namespace toucanshed
