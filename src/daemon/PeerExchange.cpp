#include "PeerExchange.h"

#include "BackendWatcher.h"
#include "Handover.h"
#include "RolloutDriver.h"

namespace toucanshed {

namespace {
constexpr Millis kTickInterval{ 300 };
/** Number of peers that get a fact when it is published. */
constexpr std::size_t kInitialFanout = 8;
/** Number of peers to which a daemon forwards a fact that it receives as new.
 */
constexpr std::size_t kForwardFanout = 2;
}

PeerExchange::PeerExchange(DaemonState& aState)
  : state(aState)
  , socket(
      aState.settings.peerAddress,
      aState.settings.peerKeys,
      [this](const peer::Envelope& aEnvelope) { this->Receive(aEnvelope); })
{
}

void
PeerExchange::GossipFacts(std::size_t aPeers)
{
  std::vector<OutgoingEnvelope> messages;
  this->state.membership.WithLock([&](Membership& aMembers) {
    for (const std::string& address : aMembers.RandomAliveAddresses(aPeers)) {
      OutgoingEnvelope message;
      message.address = address;
      message.envelope.set_kind(peer::Envelope::FACTS);
      *message.envelope.mutable_from() = aMembers.Self();
      messages.push_back(std::move(message));
    }
  });
  this->Send(std::move(messages));
}

Result<void>
PeerExchange::Start(Worker& aWorker)
{
  this->state.gossipFacts = [this] { this->GossipFacts(kInitialFanout); };
  this->state.sendToPeer = [this](OutgoingEnvelope aMessage) {
    std::vector<OutgoingEnvelope> messages;
    messages.push_back(std::move(aMessage));
    this->Send(std::move(messages));
  };
  auto started = this->socket.Start();
  if (started) {
    aWorker.Spawn(this->TickLoop());
  }
  return started;
}

void
PeerExchange::Stop()
{
  this->socket.Stop();
}

void
PeerExchange::AttachFacts(peer::Envelope& aEnvelope, bool aAll)
{
  const std::size_t daemons = this->state.membership.WithLock(
    [](Membership& aMembers) { return aMembers.LiveMembers().size(); });
  this->state.factTables.WithLock([&](FactTables& aTables) {
    FactSet& facts = aTables.facts;
    for (const FactEntry& fact :
         aAll ? facts.All() : facts.TakeForGossip(daemons)) {
      peer::Fact* sent = aEnvelope.add_facts();
      sent->set_key(fact.key);
      sent->set_expires_ms(static_cast<std::uint64_t>(fact.expires.ms));
    }
    aEnvelope.set_facts_hash(facts.KeysHash());
  });
}

void
PeerExchange::Send(std::vector<OutgoingEnvelope> aMessages)
{
  for (OutgoingEnvelope& message : aMessages) {
    if (message.envelope.facts_size() == 0) {
      this->AttachFacts(message.envelope, false);
    }
    message.envelope.set_stamp(
      this->state.events.Clock().Next(this->state.Now()).packed);
    this->socket.Send(message.address, message.envelope);
  }
}

void
PeerExchange::Receive(const peer::Envelope& aEnvelope)
{
  const TimePoint now = this->state.Now();
  this->state.events.Clock().Observe(HybridTimestamp{ aEnvelope.stamp() });
  auto replies = this->state.membership.WithLock(
    [&](Membership& aMembers) { return aMembers.Receive(aEnvelope, now); });
  if (aEnvelope.handovers_size() > 0) {
    StoreHandedOver(this->state, aEnvelope);
  }
  bool anyNew = false;
  std::uint64_t localHash = 0;
  this->state.factTables.WithLock([&](FactTables& aTables) {
    for (const peer::Fact& fact : aEnvelope.facts()) {
      const TimePoint expires{ static_cast<std::int64_t>(fact.expires_ms()) };
      anyNew =
        aTables.facts.Add(FactEntry{ fact.key(), expires }, now) || anyNew;
    }
    localHash = aTables.facts.KeysHash();
  });
  if (anyNew) {
    for (const peer::Fact& fact : aEnvelope.facts()) {
      this->state.events.Emit(Event("fact.heard")
                                .With("fact", fact.key())
                                .With("from", aEnvelope.from().id()));
    }
    ApplyFactsToRouter(this->state);
    this->GossipFacts(kForwardFanout);
  }
  this->MergeEvidence(aEnvelope);
  // If the two sets differ, the whole set is sent, once per exchange: only an
  // ACK triggers it, and it is sent as FACTS, which gets no such reply.
  const bool differ = localHash != aEnvelope.facts_hash();
  if (differ && aEnvelope.kind() == peer::Envelope::ACK) {
    OutgoingEnvelope allFacts;
    allFacts.address = aEnvelope.from().address();
    allFacts.envelope.set_kind(peer::Envelope::FACTS);
    this->state.membership.WithLock([&](Membership& aMembers) {
      *allFacts.envelope.mutable_from() = aMembers.Self();
    });
    this->AttachFacts(allFacts.envelope, true);
    replies.push_back(std::move(allFacts));
  }
  this->Send(std::move(replies));
}

void
PeerExchange::MergeEvidence(const peer::Envelope& aEnvelope)
{
  if (aEnvelope.evidence_size() == 0) {
    return;
  }
  // Evidence of ended rollouts is dropped: a late message would otherwise stay
  // in the table forever.
  std::set<Position> running;
  for (const RunningRollout& rollout : RunningRollouts(this->state)) {
    running.insert(rollout.state.rollout);
  }
  this->state.evidence.WithLock([&](EvidenceTable& aEvidence) {
    for (const peer::Evidence& evidence : aEnvelope.evidence()) {
      if (running.count(Position{ evidence.move() }) != 0) {
        aEvidence.Merge(evidence);
      }
    }
  });
}

void
PeerExchange::SendEvidence()
{
  for (const RunningRollout& rollout : RunningRollouts(this->state)) {
    const auto localEvidence =
      this->state.evidence.WithLock([&](EvidenceTable& aEvidence) {
        return aEvidence.LocalEvidence(rollout.state.rollout,
                                       this->state.Now());
      });
    if (localEvidence.empty()) {
      continue;
    }
    std::vector<OutgoingEnvelope> messages;
    this->state.membership.WithLock([&](Membership& aMembers) {
      for (const std::string& owner :
           RolloutOwners(rollout, aMembers.EligibleOwners())) {
        const auto found = aMembers.Others().find(owner);
        if (found == aMembers.Others().end()) {
          continue;
        }
        OutgoingEnvelope message;
        message.address = found->second.member.address();
        message.envelope.set_kind(peer::Envelope::FACTS);
        *message.envelope.mutable_from() = aMembers.Self();
        for (const peer::Evidence& evidence : localEvidence) {
          *message.envelope.add_evidence() = evidence;
        }
        messages.push_back(std::move(message));
      }
    });
    this->Send(std::move(messages));
  }
}

Task<void>
PeerExchange::TickLoop()
{
  while (true) {
    const TimePoint now = this->state.Now();
    this->state.factTables.WithLock([&](FactTables& aTables) {
      aTables.facts.Expire(now);
      aTables.handovers.Expire(now);
    });
    auto messages = this->state.membership.WithLock(
      [&](Membership& aMembers) { return aMembers.Tick(now); });
    this->Send(std::move(messages));
    this->SendEvidence();
    ApplyFactsToRouter(this->state);
    co_await Sleep(kTickInterval);
  }
}

void
PeerExchange::AnnounceLeaving()
{
  const TimePoint now = this->state.Now();
  auto messages = this->state.membership.WithLock([&](Membership& aMembers) {
    aMembers.Leave();
    return aMembers.Tick(now);
  });
  this->Send(std::move(messages));
}

} // namespace toucanshed
