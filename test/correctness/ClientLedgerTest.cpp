#include "coord/ClientLedger.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace toucanshed::test {
namespace {

constexpr std::size_t kMegabyte = 1000000;

ClientLimits
SmallLimits()
{
  ClientLimits limits;
  limits.requestBytes = 10 * kMegabyte;
  limits.responseBytes = 4 * kMegabyte;
  limits.fetchBytes = kMegabyte;
  limits.connections = 20;
  limits.calls = 2;
  return limits;
}

/** A ledger with a port for callers and one for probes, and the connections
 * that were closed, in order. */
struct LedgerCase
{
  ClientLedger ledger{ SmallLimits() };
  std::size_t callers = ledger.AddPort(0.5);
  std::size_t probes = ledger.AddPort(0.1);
  std::vector<int> closed;
  TimePoint now{ 1000 };

  ClientLedger::Entry Add(std::size_t aPort, int aName)
  {
    return this->ledger.Add(
      aPort, this->now, [this, aName] { this->closed.push_back(aName); });
  }

  /** A connection that has begun a request of so many bytes. */
  ClientLedger::Entry AddReading(std::size_t aPort,
                                 int aName,
                                 std::size_t aBytes)
  {
    const auto entry = this->Add(aPort, aName);
    this->ledger.SetStage(entry, ClientStage::eReading, this->now);
    const bool held = this->ledger.TryHold(entry, HeldBytes::eRequest, aBytes);
    REQUIRE(held);
    return entry;
  }
};

} // namespace

// Guards against a bound that does not follow the machine.
TEST_CASE("what is held for clients fits the machine")
{
  for (const std::size_t megabytes : { 120, 160, 260, 512 }) {
    const std::size_t memory = megabytes * kMegabyte;
    const auto limits = ClientLimits::Of(MachineLimits{ memory, 3900 });
    const std::size_t sum =
      limits.requestBytes + limits.responseBytes + limits.fetchBytes;
    CHECK(sum < memory * 6 / 10);
    CHECK(limits.connections + limits.calls < 3900);
    CHECK(limits.connections >= 1000);
    // Twice the largest body of the platform's page.
    CHECK(limits.requestBytes > std::size_t{ 8 } << 20U);
  }
  const auto few = ClientLimits::Of(MachineLimits{ 160 * kMegabyte, 100 });
  CHECK(few.connections + few.calls <= 60);
}

// Guards against a crowd at one port that leaves nothing to the others.
TEST_CASE("a port's part is not taken by others")
{
  LedgerCase ports;
  for (int i = 0; ports.ledger.HasRoomAt(ports.callers); ++i) {
    ports.Add(ports.callers, i);
  }
  CHECK(ports.ledger.HasRoomAt(ports.probes));
  const auto crowd = ports.ledger.Add(ports.probes, ports.now, [] {});
  std::size_t bytes = 0;
  while (ports.ledger.TryHold(crowd, HeldBytes::eRequest, bytes + 1000)) {
    bytes += 1000;
  }
  CHECK(bytes <= 5 * kMegabyte);
}

// Guards against large requests that leave nothing to small ones.
TEST_CASE("large requests leave room to small ones")
{
  LedgerCase ports;
  int large = 0;
  while (true) {
    const auto entry = ports.Add(ports.callers, large);
    if (!ports.ledger.TryHold(entry, HeldBytes::eRequest, kMegabyte)) {
      break;
    }
    ++large;
  }
  CHECK(large == 7);
  const auto small = ports.Add(ports.callers, 100);
  CHECK(ports.ledger.TryHold(small, HeldBytes::eRequest, 50000));
}

// Guards against closing a client that sends instead of one that stands still.
TEST_CASE("the connection that has stood still longest is closed first")
{
  LedgerCase ports;
  const auto first = ports.AddReading(ports.callers, 1, kMegabyte);
  ports.AddReading(ports.callers, 2, kMegabyte);
  ports.AddReading(ports.callers, 3, kMegabyte);
  const auto running = ports.AddReading(ports.callers, 4, kMegabyte);
  ports.ledger.SetStage(running, ClientStage::eRunning, ports.now);
  const auto newcomer = ports.Add(ports.callers, 5);
  const auto close = [&] {
    return ports.ledger.CloseForBytes(newcomer, HeldBytes::eRequest, ports.now);
  };
  ports.now = TimePoint{ 1100 };
  CHECK_FALSE(close()); // all have made progress a moment ago
  ports.now = TimePoint{ 5000 };
  ports.ledger.RecordMoved(
    first, ClientLedger::kProgressBytes, TimePoint{ 4900 });
  CHECK(close());
  CHECK(close());
  CHECK_FALSE(close());
  CHECK(ports.closed == std::vector<int>{ 2, 3 });
}

// Guards against a client that keeps its room by a byte now and then.
TEST_CASE("a few bytes are no progress")
{
  LedgerCase ports;
  const auto trickle = ports.AddReading(ports.callers, 1, kMegabyte);
  const auto newcomer = ports.Add(ports.callers, 2);
  for (int i = 0; i < 100; ++i) {
    ports.now = ports.now + Millis(10);
    ports.ledger.RecordMoved(trickle, 1, ports.now);
  }
  CHECK(ports.ledger.CloseForBytes(newcomer, HeldBytes::eRequest, ports.now));
}

// Guards against closing connections of a port that is within its part.
TEST_CASE("room is not made at the cost of a port within its part")
{
  LedgerCase ports;
  ports.AddReading(ports.probes, 1, kMegabyte / 2);
  const auto newcomer = ports.Add(ports.callers, 2);
  ports.now = TimePoint{ 9000 };
  CHECK_FALSE(
    ports.ledger.CloseForBytes(newcomer, HeldBytes::eRequest, ports.now));
  for (int i = 3; ports.ledger.HasRoomAt(ports.callers); ++i) {
    ports.Add(ports.callers, i);
  }
  CHECK(ports.ledger.CloseForConnection(ports.callers));
  CHECK(ports.closed == std::vector<int>{ 2 });
}

// Guards against a client that keeps a back end busy by not reading.
TEST_CASE("a client that does not read is closed for others")
{
  LedgerCase ports;
  const auto reader = ports.Add(ports.callers, 1);
  ports.ledger.SetStage(reader, ClientStage::eReading, ports.now);
  const auto unread = ports.Add(ports.callers, 2);
  ports.ledger.SetStage(unread, ClientStage::eWriting, ports.now);
  ClientLedger::SetHoldsBackend(unread, true);
  CHECK_FALSE(ports.ledger.CloseUnread(ports.now));
  CHECK(ports.ledger.CloseUnread(TimePoint{ 9000 }));
  CHECK(ports.closed == std::vector<int>{ 2 });
}

// Guards against counts that do not return to nothing, or pass their bounds,
// whatever connections do.
TEST_CASE("the sums stay within their bounds and return to nothing")
{
  rc::prop("any steps", [] {
    LedgerCase ports;
    std::vector<ClientLedger::Entry> open;
    const ClientLimits limits = SmallLimits();
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 24));
    for (const int step : steps) {
      ports.now = ports.now + Millis(step % 97);
      const std::size_t port = step % 3 == 0 ? ports.probes : ports.callers;
      const int action = step / 3 % 6;
      if (action == 0 && ports.ledger.HasRoomAt(port)) {
        open.push_back(ports.Add(port, step));
      }
      if (action == 1) {
        ports.ledger.CloseForConnection(port);
      }
      if (open.empty()) {
        continue;
      }
      const std::size_t index = static_cast<std::size_t>(step) % open.size();
      const auto entry = open[index];
      if (action == 2) {
        ports.ledger.Remove(entry);
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
      } else if (action == 3) {
        ports.ledger.SetStage(
          entry, static_cast<ClientStage>(step % 4), ports.now);
      } else if (action == 4) {
        static_cast<void>(ports.ledger.TryHold(
          entry,
          step % 2 == 0 ? HeldBytes::eRequest : HeldBytes::eResponse,
          static_cast<std::size_t>(step % 3000000)));
      } else if (action == 5) {
        ports.ledger.CloseForBytes(entry, HeldBytes::eRequest, ports.now);
      }
      RC_ASSERT(ports.ledger.Held(HeldBytes::eRequest) <= limits.requestBytes);
      RC_ASSERT(ports.ledger.Held(HeldBytes::eResponse) <=
                limits.responseBytes);
      RC_ASSERT(ports.ledger.Connections() <= limits.connections + 16);
      RC_ASSERT(ports.ledger.Connections() == open.size());
    }
    for (const auto& entry : open) {
      ports.ledger.Remove(entry);
    }
    RC_ASSERT(ports.ledger.Held(HeldBytes::eRequest) == 0U);
    RC_ASSERT(ports.ledger.Held(HeldBytes::eResponse) == 0U);
    RC_ASSERT(ports.ledger.Connections() == 0U);
    RC_ASSERT(ports.ledger.HasRoomAt(ports.callers));
  });
}

} // namespace toucanshed::test
