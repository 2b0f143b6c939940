#include "PeerTable.h"

#include <algorithm>

namespace toucanshed {

void
PeerTable::Learn(const DaemonId& aId, const std::string& aAddress)
{
  if (aId != this->self && !aAddress.empty()) {
    this->peers[aId].address = aAddress;
  }
}

bool
PeerTable::Hear(const serving::DaemonWord& aWord, TimePoint aNow)
{
  const DaemonId id{ aWord.id() };
  if (id == this->self || id.Empty()) {
    return false;
  }
  Peer& peer = this->peers[id];
  const bool older = peer.spoke && (aWord.life() < peer.word.life() ||
                                    (aWord.life() == peer.word.life() &&
                                     aWord.sequence() <= peer.word.sequence()));
  if (older) {
    return false;
  }
  if (peer.spoke && aWord.life() != peer.word.life()) {
    for (const serving::UsageWord& usage : peer.word.usage()) {
      peer.earlier[{ usage.window(), TeamId{ usage.team() } }] += usage.count();
    }
  }
  peer.word = aWord;
  peer.address = aWord.address();
  peer.heard = aNow;
  peer.spoke = true;
  return true;
}

void
PeerTable::Expire(TimePoint aNow)
{
  std::erase_if(this->peers, [aNow](const auto& aPair) {
    return aPair.second.spoke && aNow - aPair.second.heard > kForgotten;
  });
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

std::vector<const serving::DaemonWord*>
PeerTable::Live(TimePoint aNow) const
{
  std::vector<const serving::DaemonWord*> words;
  for (const auto& [id, peer] : this->peers) {
    if (peer.spoke && aNow - peer.heard <= kSilent) {
      words.push_back(&peer.word);
    }
  }
  return words;
}

std::size_t
PeerTable::Count(TimePoint aNow) const
{
  return this->Live(aNow).size() + 1;
}

std::map<InstanceId, BackendLoad>
PeerTable::Loads(TimePoint aNow) const
{
  std::map<InstanceId, BackendLoad> loads;
  for (const serving::DaemonWord* word : this->Live(aNow)) {
    for (const serving::BackendWord& backend : word->backends()) {
      BackendLoad& load = loads[InstanceId{ backend.id() }];
      load.running += backend.running();
      load.promptTokens += backend.prompt_tokens();
      load.outputTokens += backend.output_tokens();
    }
  }
  return loads;
}

std::map<TeamId, double>
PeerTable::Demand(TimePoint aNow) const
{
  std::map<TeamId, double> demand;
  for (const serving::DaemonWord* word : this->Live(aNow)) {
    for (const serving::TeamWord& team : word->teams()) {
      demand[TeamId{ team.team() }] += team.demand_per_s();
    }
  }
  return demand;
}

std::map<TeamId, std::uint64_t>
PeerTable::Usage(std::uint64_t aWindow) const
{
  std::map<TeamId, std::uint64_t> counts;
  for (const auto& [id, peer] : this->peers) {
    for (const serving::UsageWord& usage : peer.word.usage()) {
      if (usage.window() == aWindow) {
        counts[TeamId{ usage.team() }] += usage.count();
      }
    }
    for (const auto& [key, count] : peer.earlier) {
      if (key.first == aWindow) {
        counts[key.second] += count;
      }
    }
  }
  return counts;
}

std::int64_t
PeerTable::TrueOffset(std::int64_t aOwnWall, TimePoint aNow) const
{
  std::vector<std::int64_t> offsets{ aOwnWall - aNow.ms };
  for (const auto& [id, peer] : this->peers) {
    if (peer.spoke && aNow - peer.heard <= kSilent) {
      offsets.push_back(peer.word.wall_ms() - peer.heard.ms);
    }
  }
  std::sort(offsets.begin(), offsets.end());
  return offsets[offsets.size() / 2];
}

} // namespace toucanshed
