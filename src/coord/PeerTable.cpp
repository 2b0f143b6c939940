#include "PeerTable.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace toucanshed {

namespace {

/** A reported rate, or 0 if no daemon can have measured it: one invalid report
 * must not spoil the sum. */
double
ValidRate(double aRate)
{
  constexpr double kMostPerS = 1e9;
  return aRate >= 0 && aRate <= kMostPerS ? aRate : 0;
}

DemandByPriority
ReadPriorities(const serving::ServiceLoad& aLoad)
{
  DemandByPriority demand{};
  for (const serving::PriorityLoad& load : aLoad.priorities()) {
    demand.at(PriorityIndex(load.priority())) +=
      PriorityDemand{ ValidRate(load.requests_per_s()),
                      ValidRate(load.prompt_tokens_per_s()),
                      ValidRate(load.long_prompt_tokens_per_s()),
                      ValidRate(load.slots()),
                      ValidRate(load.long_prompt_slots()) };
  }
  return demand;
}

} // namespace

void
PeerTable::AddPeer(const DaemonId& aId, const std::string& aAddress)
{
  if (aId != this->self && !aAddress.empty()) {
    this->peers[aId].address = aAddress;
  }
}

bool
PeerTable::ReceiveHeartbeat(const serving::DaemonHeartbeat& aHeartbeat,
                            TimePoint aNow)
{
  const DaemonId id{ aHeartbeat.id() };
  if (id == this->self || id.Empty()) {
    return false;
  }
  Peer& peer = this->peers[id];
  const bool older =
    peer.hasHeartbeat && (aHeartbeat.life() < peer.heartbeat.life() ||
                          (aHeartbeat.life() == peer.heartbeat.life() &&
                           aHeartbeat.sequence() <= peer.heartbeat.sequence()));
  if (older) {
    return false;
  }
  if (peer.inTotalLoads) {
    this->AddPeerLoad(peer, -1);
  }
  peer.heartbeat = aHeartbeat;
  peer.sentSinceHeartbeat.clear();
  this->AddPeerLoad(peer, 1);
  peer.address = aHeartbeat.address();
  peer.heartbeatAt = aNow;
  peer.hasHeartbeat = true;
  return true;
}

void
PeerTable::ReceiveReach(const serving::ReachReport& aReport)
{
  const auto found = this->peers.find(DaemonId{ aReport.id() });
  const bool isLatest = found != this->peers.end() &&
                        found->second.heartbeat.life() == aReport.life();
  if (isLatest) {
    found->second.heartbeat.set_engines_lost(aReport.engines_lost());
  }
}

std::vector<RelayCandidate>
PeerTable::RelayCandidates(TimePoint aNow) const
{
  std::vector<RelayCandidate> candidates;
  for (const serving::DaemonHeartbeat* heartbeat : this->LiveHeartbeats(aNow)) {
    if (heartbeat->engines_lost() || heartbeat->stopping()) {
      continue;
    }
    candidates.push_back(
      RelayCandidate{ DaemonId{ heartbeat->id() },
                      ZoneId{ heartbeat->zone() },
                      heartbeat->address(),
                      static_cast<std::int64_t>(heartbeat->in_progress()) });
  }
  return candidates;
}

void
PeerTable::ReceiveLedger(const serving::UsageLedger& aLedger, TimePoint aNow)
{
  const auto found = this->peers.find(DaemonId{ aLedger.id() });
  if (found == this->peers.end()) {
    return; // its first heartbeat and its next report follow soon
  }
  UsageLedger& ledger = found->second.ledger;
  if (aLedger.life() < ledger.incarnation) {
    return; // the report is of an earlier incarnation
  }
  if (aLedger.life() > ledger.incarnation) {
    for (const auto& [key, count] : ledger.counts) {
      ledger.previousCounts[key] += count;
    }
    ledger.counts.clear();
    ledger.openWindow = 0;
    ledger.remembersSince.reset();
    ledger.incarnation = aLedger.life();
  }
  if (aLedger.has_remembers_since_ms()) {
    ledger.receivedAt = aNow;
    ledger.remembersSince = TimePoint{ aLedger.remembers_since_ms() };
  }
  for (const serving::UsageCount& usage : aLedger.usage()) {
    std::uint64_t& count =
      ledger.counts[{ usage.window(), TeamId{ usage.team() } }];
    count = std::max(count, usage.count());
  }
  ledger.openWindow = std::max(ledger.openWindow, aLedger.open_window());
  const auto old = [&ledger](const auto& aPair) {
    return aPair.first.first + kWindowRetention < ledger.openWindow;
  };
  std::erase_if(ledger.counts, old);
  std::erase_if(ledger.previousCounts, old);
}

void
PeerTable::ReceiveSendNotice(const serving::PromptNotice& aNotice)
{
  const auto found = this->peers.find(DaemonId{ aNotice.id() });
  if (found == this->peers.end()) {
    return;
  }
  const InstanceId backend{ aNotice.backend() };
  const BackendLoad sent{ 1, aNotice.prompt_tokens() };
  BackendLoad& load = found->second.sentSinceHeartbeat[backend];
  load.running += sent.running;
  load.promptTokens += sent.promptTokens;
  if (found->second.inTotalLoads) {
    this->AddLoad(backend, sent, 1);
  }
}

void
PeerTable::AddLoad(const InstanceId& aBackend, BackendLoad aLoad, int aSign)
{
  BackendLoad& sum = this->totalLoads[aBackend];
  sum.running += aSign * aLoad.running;
  sum.promptTokens += aSign * aLoad.promptTokens;
  if (sum == BackendLoad{}) {
    this->totalLoads.erase(aBackend);
  }
}

void
PeerTable::AddPeerLoad(Peer& aPeer, int aSign)
{
  for (const serving::BackendState& backend : aPeer.heartbeat.backends()) {
    const BackendLoad load{ backend.running(), backend.prompt_tokens() };
    this->AddLoad(InstanceId{ backend.id() }, load, aSign);
  }
  for (const auto& [id, load] : aPeer.sentSinceHeartbeat) {
    this->AddLoad(id, load, aSign);
  }
  aPeer.inTotalLoads = aSign > 0;
}

void
PeerTable::Expire(TimePoint aNow)
{
  this->DropTimedOutLoads(aNow);
  std::erase_if(this->peers, [aNow](const auto& aPair) {
    const Peer& peer = aPair.second;
    return peer.hasHeartbeat && !peer.inTotalLoads &&
           aNow - peer.heartbeatAt > kPeerRetention;
  });
}

std::string
PeerTable::AddressOf(const DaemonId& aId) const
{
  const auto found = this->peers.find(aId);
  return found == this->peers.end() ? std::string{} : found->second.address;
}

std::vector<std::string>
PeerTable::Addresses() const
{
  std::vector<std::string> addresses;
  for (const auto& [id, peer] : this->peers) {
    addresses.push_back(peer.address);
  }
  return addresses;
}

std::vector<std::vector<std::string>>
PeerTable::AddressBatches(std::size_t aMaxSize) const
{
  const std::vector<std::string> all = this->Addresses();
  const std::size_t count =
    std::max<std::size_t>(1, (all.size() + aMaxSize - 1) / aMaxSize);
  std::vector<std::vector<std::string>> batches(count);
  for (std::size_t i = 0; i < all.size(); ++i) {
    batches[i % count].push_back(all[i]);
  }
  return batches;
}

std::vector<std::string>
PeerTable::DutyCandidateAddresses(TimePoint aNow) const
{
  std::vector<std::string> addresses;
  std::size_t candidateCount = 0;
  for (const auto& [id, peer] : this->peers) {
    if (!peer.IsLive(aNow, this->PeerTimeout())) {
      continue;
    }
    const bool isCandidate =
      candidateCount < kDutyCandidates || peer.heartbeat.duty_fence() != 0;
    ++candidateCount;
    if (isCandidate) {
      addresses.push_back(peer.address);
    }
  }
  return addresses;
}

bool
PeerTable::ReceivesFromDutyCandidate(TimePoint aNow) const
{
  std::size_t candidates = 0;
  for (const auto& [id, peer] : this->peers) {
    if (!peer.IsLive(aNow, this->PeerTimeout())) {
      continue;
    }
    if (peer.IsLive(aNow, this->CandidateSilence())) {
      return true;
    }
    if (++candidates == kDutyCandidates) {
      return false;
    }
  }
  return this->peers.empty();
}

std::vector<DaemonId>
PeerTable::PeersWithoutHeartbeat() const
{
  std::vector<DaemonId> missing;
  for (const auto& [id, peer] : this->peers) {
    if (!peer.hasHeartbeat) {
      missing.push_back(id);
    }
  }
  return missing;
}

std::size_t
PeerTable::PrecedingPeers() const
{
  return static_cast<std::size_t>(
    std::distance(this->peers.begin(), this->peers.lower_bound(this->self)));
}

std::vector<const serving::DaemonHeartbeat*>
PeerTable::LiveHeartbeats(TimePoint aNow) const
{
  std::vector<const serving::DaemonHeartbeat*> heartbeats;
  for (const auto& [id, peer] : this->peers) {
    if (peer.hasHeartbeat && aNow - peer.heartbeatAt <= this->PeerTimeout()) {
      heartbeats.push_back(&peer.heartbeat);
    }
  }
  return heartbeats;
}

std::optional<PeerTable::DutyHolderState>
PeerTable::DutyHolder() const
{
  std::optional<DutyHolderState> holder;
  for (const auto& [id, peer] : this->peers) {
    const bool holds = peer.hasHeartbeat && peer.heartbeat.duty_fence() != 0 &&
                       !peer.heartbeat.stopping();
    if (holds && (!holder || holder->receivedAt < peer.heartbeatAt)) {
      holder =
        DutyHolderState{ peer.heartbeatAt, Unpack(peer.heartbeat.duty_end()) };
    }
  }
  return holder;
}

std::size_t
PeerTable::LiveDaemons(TimePoint aNow) const
{
  return this->LiveHeartbeats(aNow).size() + 1;
}

void
PeerTable::DropTimedOutLoads(TimePoint aNow)
{
  const Millis timeout = this->PeerTimeout();
  for (auto& [id, peer] : this->peers) {
    if (peer.inTotalLoads && aNow - peer.heartbeatAt > timeout) {
      this->AddPeerLoad(peer, -1);
    }
  }
}

const std::map<InstanceId, BackendLoad>&
PeerTable::Loads(TimePoint aNow)
{
  this->DropTimedOutLoads(aNow);
  return this->totalLoads;
}

ServiceDemand
PeerTable::OfferedLoad(const ServiceId& aService, TimePoint aNow) const
{
  ServiceDemand sum;
  for (const serving::DaemonHeartbeat* heartbeat : this->LiveHeartbeats(aNow)) {
    for (const serving::ServiceLoad& service : heartbeat->services()) {
      if (service.service() != aService.value) {
        continue;
      }
      if (service.priorities().empty()) {
        sum.unclassifiedTokensPerS += ValidRate(service.prompt_tokens_per_s());
      } else {
        sum.Add(ZoneId{ heartbeat->zone() }, ReadPriorities(service));
      }
    }
  }
  return sum;
}

EngineSpeed
PeerTable::UsualSpeed(const ServiceId& aService, TimePoint aNow) const
{
  std::vector<double> prefill;
  std::vector<double> steps;
  const auto add = [](double aValue, std::vector<double>& aValues) {
    if (std::isfinite(aValue) && aValue > 0) {
      aValues.push_back(aValue);
    }
  };
  for (const serving::DaemonHeartbeat* heartbeat : this->LiveHeartbeats(aNow)) {
    for (const serving::ServiceLoad& load : heartbeat->services()) {
      if (load.service() == aService.value) {
        add(load.prefill_tokens_per_ms(), prefill);
        add(load.output_token_ms(), steps);
      }
    }
  }
  const auto median = [](std::vector<double>& aValues) {
    if (aValues.empty()) {
      return 0.0;
    }
    const auto middle =
      aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
    std::nth_element(aValues.begin(), middle, aValues.end());
    return *middle;
  };
  return EngineSpeed{ median(prefill), median(steps) };
}

std::vector<DaemonId>
PeerTable::PendingDaemons(std::uint64_t aWindow, TimePoint aNow) const
{
  std::vector<DaemonId> pending;
  for (const auto& [id, peer] : this->peers) {
    const bool isLive =
      peer.hasHeartbeat && aNow - peer.heartbeatAt <= this->PeerTimeout();
    const bool final = peer.ledger.incarnation >= peer.heartbeat.life() &&
                       peer.ledger.openWindow > aWindow;
    if (isLive && !final) {
      pending.push_back(id);
    }
  }
  return pending;
}

std::optional<TimePoint>
PeerTable::ReportsRememberedSince(TimePoint aFrom, TimePoint aNow) const
{
  std::optional<TimePoint> earliest;
  for (const auto& [id, peer] : this->peers) {
    const bool counts = peer.IsLive(aNow, this->PeerTimeout()) &&
                        peer.ledger.remembersSince &&
                        peer.ledger.incarnation == peer.heartbeat.life() &&
                        peer.ledger.receivedAt >= aFrom;
    if (counts) {
      earliest = std::min(earliest.value_or(*peer.ledger.remembersSince),
                          *peer.ledger.remembersSince);
    }
  }
  return earliest;
}

std::map<TeamId, std::uint64_t>
PeerTable::Usage(std::uint64_t aWindow) const
{
  std::map<TeamId, std::uint64_t> counts;
  const auto add = [&](const UsageCounts& aCounts) {
    for (auto entry = aCounts.lower_bound({ aWindow, TeamId{} });
         entry != aCounts.end() && entry->first.first == aWindow;
         ++entry) {
      counts[entry->first.second] += entry->second;
    }
  };
  for (const auto& [id, peer] : this->peers) {
    add(peer.ledger.counts);
    add(peer.ledger.previousCounts);
  }
  return counts;
}

std::int64_t
PeerTable::ClusterTimeOffset(std::int64_t aOwnWallMs, TimePoint aNow) const
{
  std::vector<std::int64_t> offsets{ aOwnWallMs - aNow.ms };
  for (const auto& [id, peer] : this->peers) {
    if (peer.hasHeartbeat && aNow - peer.heartbeatAt <= this->PeerTimeout()) {
      offsets.push_back(peer.heartbeat.wall_ms() - peer.heartbeatAt.ms);
    }
  }
  std::sort(offsets.begin(), offsets.end());
  return offsets[offsets.size() / 2];
}

} // namespace toucanshed
