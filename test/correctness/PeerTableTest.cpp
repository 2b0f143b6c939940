#include "coord/PeerTable.h"
#include "base/Random.h"

#include <catch2/catch.hpp>
#include <set>

namespace toucanshed::test {
namespace {

const InstanceId kEngine{ "e1" };

serving::DaemonHeartbeat
MakeHeartbeat(const std::string& aId,
              std::uint64_t aIncarnation,
              std::uint64_t aSequence)
{
  serving::DaemonHeartbeat heartbeat;
  heartbeat.set_id(aId);
  heartbeat.set_life(aIncarnation);
  heartbeat.set_sequence(aSequence);
  heartbeat.set_address("127.0.0.1:1");
  return heartbeat;
}

/** A daemon's count of one team's requests in window 7. */
serving::UsageLedger
MakeLedger(const std::string& aId,
           std::uint64_t aIncarnation,
           std::uint64_t aCount)
{
  serving::UsageLedger ledger;
  ledger.set_id(aId);
  ledger.set_life(aIncarnation);
  ledger.set_open_window(7);
  auto* usage = ledger.add_usage();
  usage->set_window(7);
  usage->set_team("team-one");
  usage->set_count(aCount);
  return ledger;
}

} // namespace

TEST_CASE("a sent prompt counts until the next heartbeat")
{
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 1000 };
  peers.ReceiveHeartbeat(MakeHeartbeat("other", 1, 1), now);
  serving::PromptNotice notice;
  notice.set_id("other");
  notice.set_backend(kEngine.value);
  notice.set_prompt_tokens(9000);
  peers.ReceiveSendNotice(notice);
  CHECK(peers.Loads(now).at(kEngine).promptTokens == 9000);
  CHECK(peers.Loads(now).at(kEngine).running == 1);

  // The next heartbeat states what is left of it.
  serving::DaemonHeartbeat next = MakeHeartbeat("other", 1, 2);
  auto* entry = next.add_backends();
  entry->set_id(kEngine.value);
  entry->set_running(1);
  peers.ReceiveHeartbeat(next, now + Millis(150));
  CHECK(peers.Loads(now + Millis(150)).at(kEngine).promptTokens == 0);
}

TEST_CASE("a heartbeat that arrives out of order is dropped")
{
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 1000 };
  CHECK(peers.ReceiveHeartbeat(MakeHeartbeat("other", 2, 5), now));
  CHECK_FALSE(peers.ReceiveHeartbeat(MakeHeartbeat("other", 2, 4), now));
  CHECK_FALSE(peers.ReceiveHeartbeat(MakeHeartbeat("other", 1, 9), now));
  CHECK(peers.ReceiveHeartbeat(MakeHeartbeat("other", 3, 1), now));
}

TEST_CASE("a timed-out daemon's usage counts, its load does not")
{
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 1000 };
  serving::DaemonHeartbeat heartbeat = MakeHeartbeat("other", 1, 1);
  auto* backend = heartbeat.add_backends();
  backend->set_id(kEngine.value);
  backend->set_running(3);
  peers.ReceiveHeartbeat(heartbeat, now);
  peers.ReceiveLedger(MakeLedger("other", 1, 4), now);
  const TimePoint later = now + PeerTable::kPeerTimeout + Millis(1);
  CHECK(peers.Loads(later).empty());
  CHECK(peers.LiveDaemons(later) == 1);
  CHECK(peers.Usage(7).at(TeamId{ "team-one" }) == 4);

  // It returns as another incarnation; the counts of the first one remain.
  peers.ReceiveHeartbeat(MakeHeartbeat("other", 2, 1), later);
  peers.ReceiveLedger(MakeLedger("other", 2, 2), now);
  CHECK(peers.Usage(7).at(TeamId{ "team-one" }) == 6);
  // A late report of the first incarnation adds nothing.
  peers.ReceiveLedger(MakeLedger("other", 1, 4), now);
  CHECK(peers.Usage(7).at(TeamId{ "team-one" }) == 6);
}

// Guards against a daemon that counts as one that knows of earlier reports
// though it has started again, has timed out or spoke too early.
TEST_CASE("only what live daemons say now tells since when they know reports")
{
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 100000 };
  peers.ReceiveHeartbeat(MakeHeartbeat("other", 1, 1), now);
  peers.ReceiveLedger(MakeLedger("other", 1, 4), now);
  CHECK_FALSE(peers.ReportsRememberedSince(now, now));
  serving::UsageLedger ledger = MakeLedger("other", 1, 4);
  ledger.set_remembers_since_ms(70000);
  peers.ReceiveLedger(ledger, now);
  CHECK(peers.ReportsRememberedSince(now, now) == TimePoint{ 70000 });
  CHECK_FALSE(peers.ReportsRememberedSince(now + Millis(1), now));
  const TimePoint later = now + PeerTable::kPeerTimeout + Millis(1);
  CHECK_FALSE(peers.ReportsRememberedSince(now, later));
  peers.ReceiveHeartbeat(MakeHeartbeat("other", 2, 1), now);
  CHECK_FALSE(peers.ReportsRememberedSince(now, now));
}

TEST_CASE("a window's counts are pending until it is closed")
{
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 1000 };
  peers.ReceiveHeartbeat(MakeHeartbeat("other", 1, 1), now);
  CHECK(peers.PendingDaemons(7, now).size() == 1);
  peers.ReceiveLedger(MakeLedger("other", 1, 4), now); // window 7 is still open
  CHECK(peers.PendingDaemons(7, now).size() == 1);
  serving::UsageLedger closed = MakeLedger("other", 1, 9);
  closed.set_open_window(8);
  peers.ReceiveLedger(closed, now);
  CHECK(peers.PendingDaemons(7, now).empty());
  CHECK(peers.Usage(7).at(TeamId{ "team-one" }) == 9);
  // A report that arrives out of order changes nothing.
  peers.ReceiveLedger(MakeLedger("other", 1, 4), now);
  CHECK(peers.Usage(7).at(TeamId{ "team-one" }) == 9);
  CHECK(peers.PendingDaemons(7, now).empty());

  // Its next incarnation may have started within the window.
  peers.ReceiveHeartbeat(MakeHeartbeat("other", 2, 1), now);
  CHECK(peers.PendingDaemons(7, now).size() == 1);
  // A failed daemon is not pending.
  const TimePoint later = now + PeerTable::kPeerTimeout + Millis(1);
  CHECK(peers.PendingDaemons(7, later).empty());
}

TEST_CASE("total load is the sum of latest live heartbeats")
{
  // Heartbeats arrive, also out of order, and daemons time out and return.
  // Guards against a load that is removed twice or never, which would distort
  // the total for as long as the daemon runs.
  constexpr int kOthers = 12;
  constexpr int kSteps = 3000;
  Random random(11);
  PeerTable peers(DaemonId{ "self" });
  std::map<int, std::map<std::string, std::int64_t>> latestLoads;
  std::map<int, TimePoint> receivedAt;
  std::map<int, std::uint64_t> sequence;
  TimePoint now{ 1000 };
  for (int step = 0; step < kSteps; ++step) {
    now = now + Millis(random.NextBelow(120));
    const int sender = static_cast<int>(random.NextBelow(kOthers));
    const std::string id = "d" + std::to_string(sender);
    const bool outOfOrder = random.NextBelow(10) == 0 && sequence[sender] > 0;
    if (!outOfOrder) {
      ++sequence[sender];
    }
    serving::DaemonHeartbeat heartbeat =
      MakeHeartbeat(id, 1, sequence[sender] - (outOfOrder ? 1 : 0));
    std::map<std::string, std::int64_t> reported;
    for (std::uint64_t i = random.NextBelow(4); i > 0; --i) {
      const auto running = static_cast<std::int64_t>(random.NextBelow(9));
      reported["e" + std::to_string(random.NextBelow(5))] = 1 + running;
    }
    for (const auto& [engine, running] : reported) {
      auto* entry = heartbeat.add_backends();
      entry->set_id(engine);
      entry->set_running(running);
    }
    if (peers.ReceiveHeartbeat(heartbeat, now)) {
      latestLoads[sender] = reported;
      receivedAt[sender] = now;
    }
    std::map<std::string, std::int64_t> expected;
    for (const auto& [other, loads] : latestLoads) {
      for (const auto& [engine, running] : loads) {
        const bool isLive = now - receivedAt[other] <= PeerTable::kPeerTimeout;
        expected[engine] += isLive ? running : 0;
      }
    }
    std::erase_if(expected,
                  [](const auto& aPair) { return aPair.second == 0; });
    const auto& loads = peers.Loads(now);
    REQUIRE(loads.size() == expected.size());
    for (const auto& [engine, running] : expected) {
      REQUIRE(loads.at(InstanceId{ engine }).running == running);
    }
  }
}

TEST_CASE("heartbeats to many daemons are sent in batches")
{
  // Guards against sending 88 heartbeats at once: they filled the queue of a
  // small instance's link, and the messages sent after them were lost, the same
  // ones each time.
  PeerTable peers(DaemonId{ "self" });
  constexpr std::size_t kOthers = 88;
  constexpr std::size_t kMaxSize = 12;
  for (std::size_t i = 0; i < kOthers; ++i) {
    peers.AddPeer(DaemonId{ "d" + std::to_string(i) },
                  "127.0.0.1:" + std::to_string(1000 + i));
  }
  std::set<std::string> addresses;
  for (const auto& batch : peers.AddressBatches(kMaxSize)) {
    CHECK(batch.size() <= kMaxSize);
    addresses.insert(batch.begin(), batch.end());
  }
  CHECK(addresses.size() == kOthers);
  CHECK(PeerTable(DaemonId{ "alone" }).AddressBatches(kMaxSize).size() == 1);
}

TEST_CASE("ledgers go to the duty holder and its successors")
{
  // Guards against losing the counts of failed daemons when the duty holder
  // fails too. The daemon that claims the duties next, by the order of ids,
  // must have them.
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 1000 };
  for (int i = 10; i < 40; ++i) {
    serving::DaemonHeartbeat heartbeat =
      MakeHeartbeat("d" + std::to_string(i), 1, 1);
    heartbeat.set_address("127.0.0.1:" + std::to_string(i));
    heartbeat.set_duty_fence(i == 33 ? 5 : 0);
    peers.ReceiveHeartbeat(heartbeat, now);
  }
  const std::vector<std::string> candidates = peers.DutyCandidateAddresses(now);
  CHECK(candidates.size() == PeerTable::kDutyCandidates + 1);
  CHECK(candidates.front() == "127.0.0.1:10");
  CHECK(candidates.back() == "127.0.0.1:33");
}

TEST_CASE("cluster time is the median of the daemons' clocks")
{
  // One daemon's time of day jumps by 40 minutes. Its usage reports, and the
  // others', must still count in the right window.
  PeerTable peers(DaemonId{ "self" });
  const TimePoint now{ 1000 };
  constexpr std::int64_t kTrue = 5'000'000;
  constexpr std::int64_t kJump = 2'400'000;
  for (const char* id : { "a", "b", "c" }) {
    serving::DaemonHeartbeat heartbeat = MakeHeartbeat(id, 1, 1);
    heartbeat.set_wall_ms(kTrue);
    peers.ReceiveHeartbeat(heartbeat, now);
  }
  CHECK(peers.ClusterTimeOffset(kTrue + kJump, now) == kTrue - now.ms);
}

} // namespace toucanshed::test
