/** \file
 * Simulates a cluster of Membership objects in one process, with an in-memory
 * network and simulated time.
 */
#pragma once

#include "coord/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanshed::test {

/** Delivers the messages in rounds, every 10 ms of simulated time. Messages
 * over a broken link or to a dead node are lost; a paused node receives them
 * when it resumes. */
class MembershipSimulation
{
public:
  static constexpr Millis kTick{ 300 };

  explicit MembershipSimulation(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      this->AddNode(i);
    }
  }

  struct Node
  {
    std::unique_ptr<Membership> membership;
    std::vector<peer::Envelope> inbox; // holds messages while paused
    bool dead = false;
    bool paused = false;
  };

  /** Advances the simulated time. Each node ticks once per kTick; the phase
   * differs between nodes. */
  void Run(Millis aTime)
  {
    const TimePoint end = this->now + aTime;
    while (this->now < end) {
      this->now = this->now + Millis(10);
      this->Deliver();
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const auto phase = static_cast<std::int64_t>(i) * 7 % kTick.count();
        const bool due =
          (this->now.ms + phase) / 10 % (kTick.count() / 10) == 0;
        if (due && !this->nodes[i].dead && !this->nodes[i].paused) {
          this->Send(i, this->nodes[i].membership->Tick(this->now));
        }
      }
    }
  }

  /** Whether each running node sees exactly aAlive nodes alive, with itself. */
  [[nodiscard]] bool AllSeeAlive(std::size_t aAlive) const
  {
    for (const Node& node : this->nodes) {
      if (!node.dead && !node.paused &&
          node.membership->EligibleOwners().size() != aAlive) {
        return false;
      }
    }
    return true;
  }

  /** Number of running nodes in whose view aNode has the status. */
  [[nodiscard]] std::size_t CountSeeing(std::size_t aNode,
                                        peer::MemberStatus aStatus) const
  {
    std::size_t count = 0;
    for (const Node& node : this->nodes) {
      const auto& others = node.membership->Others();
      const auto found = others.find(NameOf(aNode));
      if (!node.dead && !node.paused && found != others.end() &&
          found->second.member.status() == aStatus) {
        ++count;
      }
    }
    return count;
  }

  void Resume(std::size_t aNode) { this->nodes[aNode].paused = false; }

  /** Replaces a node by a new incarnation at the same address. */
  void Replace(std::size_t aNode)
  {
    this->nodes[aNode] = Node{};
    this->MakeMember(aNode, static_cast<std::uint64_t>(this->now.ms) + 1);
  }

  static std::string NameOf(std::size_t aNode)
  {
    return "d" + std::to_string(aNode);
  }

  std::vector<Node> nodes;
  /** Whether a message from one node to another is lost. */
  std::function<bool(std::size_t, std::size_t)> isLinkDown =
    [](std::size_t, std::size_t) { return false; };
  TimePoint now{ 1000 };
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;

private:
  void AddNode(std::size_t aNode)
  {
    this->nodes.emplace_back();
    this->MakeMember(aNode, 1);
  }

  void MakeMember(std::size_t aNode, std::uint64_t aIncarnation)
  {
    peer::Member self;
    self.set_id(NameOf(aNode));
    self.set_incarnation(aIncarnation);
    self.set_life(aIncarnation);
    self.set_zone("zone-" + std::to_string(aNode % 8));
    self.set_address(std::to_string(aNode));
    self.set_operator_address("10.0.0.1:9100");
    this->nodes[aNode].membership = std::make_unique<Membership>(
      self, MembershipTiming{}, Random(aNode + aIncarnation));
    // The platform's list contains a few daemons; the others are found through
    // them.
    this->nodes[aNode].membership->SetSeedAddresses(
      { "0", "1", "2", "3", "4" });
  }

  void Send(std::size_t aFrom, const std::vector<OutgoingEnvelope>& aMessages)
  {
    for (const OutgoingEnvelope& message : aMessages) {
      const std::size_t to = std::stoul(message.address);
      ++this->messages;
      this->bytes += message.envelope.ByteSizeLong();
      if (!this->isLinkDown(aFrom, to) && !this->nodes[to].dead) {
        this->nodes[to].inbox.push_back(message.envelope);
      }
    }
  }

  void Deliver()
  {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      Node& node = this->nodes[i];
      if (node.dead || node.paused) {
        continue;
      }
      const auto inbox = std::move(node.inbox);
      node.inbox.clear();
      for (const peer::Envelope& envelope : inbox) {
        this->Send(i, node.membership->Receive(envelope, this->now));
      }
    }
  }
};

} // namespace toucanshed::test
