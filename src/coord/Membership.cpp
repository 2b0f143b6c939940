#include "Membership.h"

#include "base/Hash.h"

#include <algorithm>
#include <bit>

namespace toucanshed {

namespace {

/** An update is sent this many times the bit width of the cluster size. */
constexpr std::uint32_t kSpreadFactor = 3;

/** Within one incarnation, a status of higher severity overrides a lower one.
 */
int
Severity(peer::MemberStatus aStatus)
{
  switch (aStatus) {
    case peer::ALIVE:
      return 0;
    case peer::SUSPECT:
      return 1;
    case peer::LEAVING:
      return 2;
    default:
      return 3;
  }
}

bool
Overrides(const peer::Member& aNew, const peer::Member& aOld)
{
  if (aNew.incarnation() != aOld.incarnation()) {
    return aNew.incarnation() > aOld.incarnation();
  }
  return Severity(aNew.status()) > Severity(aOld.status());
}

} // namespace

Membership::Membership(peer::Member aSelf,
                       MembershipTiming aTiming,
                       Random aRandom)
  : self(std::move(aSelf))
  , timing(aTiming)
  , random(aRandom)
{
}

void
Membership::SetSeedAddresses(std::vector<std::string> aAddresses)
{
  std::erase(aAddresses, this->self.address());
  this->seedAddresses = std::move(aAddresses);
}

void
Membership::Leave()
{
  this->self.set_status(peer::LEAVING);
  this->QueueUpdate(this->self.id());
}

void
Membership::QueueUpdate(const std::string& aId)
{
  this->pendingUpdates[aId] = 0;
}

peer::Envelope
Membership::MakeEnvelope(peer::Envelope::Kind aKind, std::uint64_t aSequence)
{
  peer::Envelope envelope;
  envelope.set_kind(aKind);
  envelope.set_sequence(aSequence);
  *envelope.mutable_from() = this->self;
  envelope.set_members_hash(this->ViewHash());
  this->AttachUpdates(envelope);
  return envelope;
}

void
Membership::AttachUpdates(peer::Envelope& aEnvelope)
{
  const auto maxSends =
    kSpreadFactor *
    static_cast<std::uint32_t>(std::bit_width(this->members.size() + 1));
  // Sends the least often sent updates first, so that old updates do not delay
  // new ones.
  std::vector<std::pair<std::uint32_t, std::string_view>> queue;
  queue.reserve(this->pendingUpdates.size());
  for (const auto& [id, sent] : this->pendingUpdates) {
    queue.emplace_back(sent, id);
  }
  const std::size_t count = std::min(queue.size(), kMaxUpdatesPerMessage);
  std::partial_sort(queue.begin(),
                    queue.begin() + static_cast<std::ptrdiff_t>(count),
                    queue.end());
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint32_t sent = queue[i].first;
    const std::string id(queue[i].second);
    const auto found = this->members.find(id);
    if (id != this->self.id() && found == this->members.end()) {
      this->pendingUpdates.erase(id);
      continue;
    }
    *aEnvelope.add_members() =
      id == this->self.id() ? this->self : found->second.member;
    if (sent + 1 >= maxSends) {
      this->pendingUpdates.erase(id);
    } else {
      this->pendingUpdates[id] = sent + 1;
    }
  }
}

void
Membership::Refute(const peer::Member& aOwnEntry)
{
  const bool wrong =
    aOwnEntry.status() == peer::SUSPECT || aOwnEntry.status() == peer::DEAD;
  if (wrong && aOwnEntry.incarnation() >= this->self.incarnation()) {
    this->self.set_incarnation(aOwnEntry.incarnation() + 1);
    this->QueueUpdate(this->self.id());
  }
}

void
Membership::Merge(const peer::Member& aMember, TimePoint aNow)
{
  if (aMember.id() == this->self.id()) {
    this->Refute(aMember);
    return;
  }
  const auto found = this->members.find(aMember.id());
  if (found == this->members.end()) {
    if (aMember.status() != peer::DEAD) {
      this->members[aMember.id()] = MemberView{ aMember, aNow };
      this->QueueUpdate(aMember.id());
    }
    return;
  }
  if (!Overrides(aMember, found->second.member)) {
    return;
  }
  if (aMember.status() != found->second.member.status()) {
    found->second.since = aNow;
  }
  found->second.member = aMember;
  this->QueueUpdate(aMember.id());
}

void
Membership::MarkSuspect(const std::string& aId, TimePoint aNow)
{
  const auto found = this->members.find(aId);
  const bool canBeSuspected = found != this->members.end() &&
                              (found->second.member.status() == peer::ALIVE ||
                               found->second.member.status() == peer::LEAVING);
  if (!canBeSuspected) {
    return;
  }
  // A leaving daemon that stops replying has left.
  const bool left = found->second.member.status() == peer::LEAVING;
  found->second.member.set_status(left ? peer::DEAD : peer::SUSPECT);
  found->second.since = aNow;
  this->QueueUpdate(aId);
}

std::vector<std::string>
Membership::RandomAliveIds(std::size_t aCount, const std::string& aExcept)
{
  std::vector<std::string> alive;
  for (const auto& [id, view] : this->members) {
    if (id != aExcept && view.member.status() == peer::ALIVE) {
      alive.push_back(id);
    }
  }
  for (std::size_t i = 0; i < alive.size() && i < aCount; ++i) {
    std::swap(alive[i], alive[i + this->random.NextBelow(alive.size() - i)]);
  }
  alive.resize(std::min(alive.size(), aCount));
  return alive;
}

void
Membership::CheckProbes(TimePoint aNow, std::vector<OutgoingEnvelope>& aOut)
{
  for (auto probe = this->probes.begin(); probe != this->probes.end();) {
    const auto waited = aNow - probe->second.sent;
    if (waited >= this->timing.suspectAfter) {
      this->MarkSuspect(probe->second.target, aNow);
      probe = this->probes.erase(probe);
      continue;
    }
    if (waited >= this->timing.probeTimeout && !probe->second.relayRequested) {
      probe->second.relayRequested = true;
      for (const auto& id :
           this->RandomAliveIds(kIndirectProbes, probe->second.target)) {
        auto envelope =
          this->MakeEnvelope(peer::Envelope::PROBE_REQUEST, probe->first);
        envelope.set_target(probe->second.target);
        aOut.push_back(
          { this->members.at(id).member.address(), std::move(envelope) });
      }
    }
    ++probe;
  }
}

void
Membership::ExpireMembers(TimePoint aNow)
{
  for (auto member = this->members.begin(); member != this->members.end();) {
    MemberView& view = member->second;
    const auto age = aNow - view.since;
    if (view.member.status() == peer::SUSPECT &&
        age >= this->timing.deadAfter) {
      view.member.set_status(peer::DEAD);
      view.since = aNow;
      this->QueueUpdate(member->first);
    }
    const bool expired = view.member.status() == peer::DEAD &&
                         aNow - view.since >= this->timing.forgetAfter;
    member = expired ? this->members.erase(member) : std::next(member);
  }
  std::erase_if(this->relayedProbes, [&](const auto& aRelay) {
    return aNow - aRelay.second.since >= this->timing.deadAfter;
  });
}

void
Membership::ProbeNext(TimePoint aNow, std::vector<OutgoingEnvelope>& aOut)
{
  while (true) {
    if (this->probeOrder.empty()) {
      for (const auto& [id, view] : this->members) {
        if (view.member.status() != peer::DEAD) {
          this->probeOrder.push_back(id);
        }
      }
      for (std::size_t i = this->probeOrder.size(); i > 1; --i) {
        std::swap(this->probeOrder[i - 1],
                  this->probeOrder[this->random.NextBelow(i)]);
      }
      if (this->probeOrder.empty()) {
        return;
      }
    }
    const std::string target = this->probeOrder.back();
    this->probeOrder.pop_back();
    const auto found = this->members.find(target);
    if (found == this->members.end()) {
      continue;
    }
    const std::uint64_t sequence = ++this->lastSequence;
    this->probes[sequence] = Probe{ target, aNow };
    auto envelope = this->MakeEnvelope(peer::Envelope::PROBE, sequence);
    if (found->second.member.status() == peer::SUSPECT) {
      *envelope.add_members() = found->second.member;
    }
    aOut.push_back({ found->second.member.address(), std::move(envelope) });
    return;
  }
}

void
Membership::ProbeSeed(std::vector<OutgoingEnvelope>& aOut)
{
  // Each tick probes one seed address that belongs to no live member. This is
  // how a cluster forms, and how two parts find each other after a partition.
  for (std::size_t tries = 0; tries < this->seedAddresses.size(); ++tries) {
    const std::string& address =
      this->seedAddresses[this->nextSeed++ % this->seedAddresses.size()];
    const bool live = std::any_of(
      this->members.begin(), this->members.end(), [&](const auto& aMember) {
        return aMember.second.member.address() == address &&
               aMember.second.member.status() != peer::DEAD;
      });
    if (!live) {
      auto envelope =
        this->MakeEnvelope(peer::Envelope::PROBE, ++this->lastSequence);
      for (const auto& [id, view] : this->members) {
        if (view.member.address() == address) {
          *envelope.add_members() = view.member;
        }
      }
      aOut.push_back({ address, std::move(envelope) });
      return;
    }
  }
}

std::vector<OutgoingEnvelope>
Membership::Tick(TimePoint aNow)
{
  std::vector<OutgoingEnvelope> out;
  this->CheckProbes(aNow, out);
  this->ExpireMembers(aNow);
  this->ProbeNext(aNow, out);
  this->ProbeSeed(out);
  return out;
}

void
Membership::ReplyToProbe(const peer::Envelope& aProbe,
                         std::vector<OutgoingEnvelope>& aOut)
{
  auto ack = this->MakeEnvelope(peer::Envelope::ACK, aProbe.sequence());
  const auto known = this->members.find(aProbe.from().id());
  const bool presumedGone = known != this->members.end() &&
                            (known->second.member.status() == peer::SUSPECT ||
                             known->second.member.status() == peer::DEAD);
  if (presumedGone) {
    // Includes the sender's own entry, so that the sender can refute it.
    *ack.add_members() = known->second.member;
  }
  aOut.push_back({ aProbe.from().address(), std::move(ack) });
}

void
Membership::RelayProbe(const peer::Envelope& aRequest,
                       TimePoint aNow,
                       std::vector<OutgoingEnvelope>& aOut)
{
  const auto target = this->members.find(aRequest.target());
  if (target == this->members.end()) {
    return;
  }
  const std::uint64_t sequence = ++this->lastSequence;
  this->relayedProbes[sequence] =
    RelayedProbe{ aRequest.from().address(), aRequest.sequence(), aNow };
  aOut.push_back({ target->second.member.address(),
                   this->MakeEnvelope(peer::Envelope::PROBE, sequence) });
}

void
Membership::HandleAck(const peer::Envelope& aAck,
                      std::vector<OutgoingEnvelope>& aOut)
{
  this->probes.erase(aAck.sequence());
  const auto relay = this->relayedProbes.find(aAck.sequence());
  if (relay == this->relayedProbes.end()) {
    return;
  }
  auto relayedAck =
    this->MakeEnvelope(peer::Envelope::ACK, relay->second.sequence);
  relayedAck.set_target(aAck.from().id());
  *relayedAck.add_members() = aAck.from();
  aOut.push_back({ relay->second.address, std::move(relayedAck) });
  this->relayedProbes.erase(relay);
}

std::uint64_t
Membership::ViewHash() const
{
  std::uint64_t hash = Hash64(this->self.id(), this->self.life());
  for (const auto& [id, view] : this->members) {
    if (view.member.status() != peer::DEAD) {
      hash ^= Hash64(id, view.member.life());
    }
  }
  return hash;
}

void
Membership::AttachAllMembers(peer::Envelope& aEnvelope) const
{
  aEnvelope.clear_members();
  for (const auto& [id, view] : this->members) {
    *aEnvelope.add_members() = view.member;
  }
}

void
Membership::SyncIfDifferent(const peer::Envelope& aAck,
                            TimePoint aNow,
                            std::vector<OutgoingEnvelope>& aOut)
{
  const bool due = aNow - this->lastSync >= this->timing.syncInterval;
  if (!due || aAck.members_hash() == this->ViewHash()) {
    return;
  }
  this->lastSync = aNow;
  auto envelope = this->MakeEnvelope(peer::Envelope::SYNC, 0);
  this->AttachAllMembers(envelope);
  aOut.push_back({ aAck.from().address(), std::move(envelope) });
}

std::vector<OutgoingEnvelope>
Membership::Receive(const peer::Envelope& aEnvelope, TimePoint aNow)
{
  std::vector<OutgoingEnvelope> out;
  this->Merge(aEnvelope.from(), aNow);
  for (const peer::Member& member : aEnvelope.members()) {
    this->Merge(member, aNow);
  }
  switch (aEnvelope.kind()) {
    case peer::Envelope::PROBE:
      this->ReplyToProbe(aEnvelope, out);
      break;
    case peer::Envelope::ACK:
      this->HandleAck(aEnvelope, out);
      this->SyncIfDifferent(aEnvelope, aNow, out);
      break;
    case peer::Envelope::SYNC: {
      auto reply = this->MakeEnvelope(peer::Envelope::SYNC_REPLY, 0);
      this->AttachAllMembers(reply);
      out.push_back({ aEnvelope.from().address(), std::move(reply) });
      break;
    }
    case peer::Envelope::PROBE_REQUEST:
      this->RelayProbe(aEnvelope, aNow, out);
      break;
    default:
      break;
  }
  return out;
}

std::vector<std::string>
Membership::RandomAliveAddresses(std::size_t aCount)
{
  std::vector<std::string> addresses;
  for (const std::string& id : this->RandomAliveIds(aCount, {})) {
    addresses.push_back(this->members.at(id).member.address());
  }
  return addresses;
}

std::vector<std::string>
Membership::LiveMembers() const
{
  std::vector<std::string> alive{ this->self.id() };
  for (const auto& [id, view] : this->members) {
    if (view.member.status() != peer::DEAD) {
      alive.push_back(id);
    }
  }
  std::sort(alive.begin(), alive.end());
  return alive;
}

std::vector<std::string>
Membership::EligibleOwners() const
{
  std::vector<std::string> owners;
  if (this->self.status() == peer::ALIVE) {
    owners.push_back(this->self.id());
  }
  for (const auto& [id, view] : this->members) {
    if (view.member.status() == peer::ALIVE) {
      owners.push_back(id);
    }
  }
  std::sort(owners.begin(), owners.end());
  return owners;
}

} // namespace toucanshed
