// Entries of the list that another writer has left: fields missing, of another
// type or out of range, and keys of any bytes.
#include "test/PlatformHarness.h"

#include "serve/StoreWatcher.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

namespace json = boost::json;

constexpr const char* kServers = "keyed.servers";

Task<void>
Settle()
{
  co_await Sleep(Millis(120));
}

/** Time for the next read of the list. */
Task<void>
WaitForListRead()
{
  co_await Sleep(Millis(900));
}

/** The text of an engine's entry with one field replaced, or without it. */
std::string
WithField(const std::string& aEntry,
          const std::string& aName,
          const std::string& aValue)
{
  std::string text = "{";
  const json::value parsed = json::parse(aEntry);
  for (const auto& [name, value] : parsed.as_object()) {
    const bool replaced = std::string_view(name) == aName;
    const std::string used = replaced ? aValue : json::serialize(value);
    if (!used.empty()) {
      text += "\"" + std::string(name) + "\":" + used + ",";
    }
  }
  text.back() = '}';
  return text;
}

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/** Entries that name no engine to use, made from one that does. */
std::vector<std::string>
OddEntries(const std::string& aEntry)
{
  const std::vector<std::pair<std::string, std::vector<std::string>>> fields{
    { "service", { "", "5", "null", "\"\"" } },
    { "address",
      { "",
        "7",
        "\"127.0.0.1:70000\"",
        "\"127.0.0.1:99999999999999999999\"",
        "\"127.0.0.1:-1\"",
        "\"127.0.0.1:0\"",
        "\"127.0.0.1\"",
        "\":::\"" } },
    { "zone", { "", "[]", "1" } },
    { "version", { "", "{}", "1" } },
    { "slots",
      { "", "\"8\"", "0", "-1", "1.5", "1e300", "18446744073709551616" } },
    { "state", { "", "1", "\"odd\"" } },
    { "cold_remaining_ms", { "", "\"1\"", "-1", "1e300", "9e18" } },
    { "seq", { "", "true", "-1", "1e400", "123456789012345678901234567890" } },
    { "born", { "\"1\"", "null", "1.5", "-5", "1e300", "9e18" } }
  };
  std::vector<std::string> entries{ "null", "[]", "{}", "\"x\"", "{\"a\":" };
  for (const auto& [name, values] : fields) {
    for (const std::string& value : values) {
      entries.push_back(WithField(aEntry, name, value));
    }
  }
  entries.push_back(WithField(aEntry, "zone", Nested(200000)));
  entries.push_back(
    WithField(aEntry, "version", "\"" + std::string(250000, 'v') + "\""));
  entries.push_back(WithField(aEntry, "version", "\"\xff\xfe\""));
  return entries;
}

} // namespace

// Guards against an odd entry that ends the reader of the list, hides the
// entries beside it, or names an engine to use.
TEST_CASE("odd entries name no engine and hide no other")
{
  PlatformHarness harness(25960);
  harness.AddEngine("e1", "plain");
  std::size_t number = 0;
  for (const std::string& entry : OddEntries(harness.EntryOf("e1"))) {
    harness.store.AppendKeyed(kServers, "a" + std::to_string(++number), entry);
  }
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->backendsRead = false;
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    const std::size_t served = co_await aHarness.SendRequests(4);
    CHECK(served == 4);
  }(harness));
  for (const auto& [id, backend] : harness.state->backends.All()) {
    CHECK(id.value == "e1");
  }
  CHECK(harness.state->backendsRead);
}

// Guards against an odd entry that is new to a daemon which follows the list.
TEST_CASE("odd entries that come later name no engine either")
{
  PlatformHarness harness(25980);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->backendsRead = false;
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    std::size_t number = 0;
    for (const std::string& entry : OddEntries(aHarness.EntryOf("e1"))) {
      aHarness.store.AppendKeyed(
        kServers, "a" + std::to_string(++number), entry);
    }
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(4);
    CHECK(served == 4);
  }(harness));
  CHECK(harness.state->backends.All().size() == 1);
}

// Guards against an engine that is not used as its remaining warm-up is no
// whole number of milliseconds.
TEST_CASE("an entry with a fraction of warm-up names its engine")
{
  PlatformHarness harness(26380);
  harness.AddEngine("e1", "plain");
  const std::string entry =
    WithField(harness.EntryOf("e1"), "cold_remaining_ms", "812.5");
  harness.store.AppendKeyed(kServers, "e2", entry);
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
  }(harness));
  CHECK(harness.state->backends.Find(InstanceId{ "e2" }) != nullptr);
}

// Guards against an engine that stays unused for a minute after another writer
// has overwritten its entry once.
TEST_CASE("an engine is used again once it renews an overwritten entry")
{
  PlatformHarness harness(26000);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->backendsRead = false;
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
    aHarness.store.AppendKeyed(kServers, "e1", "{\"service\":\"plain\"}");
    co_await WaitForListRead();
    const std::size_t meanwhile = co_await aHarness.SendRequests(1);
    CHECK(meanwhile == 0);
    aHarness.store.AppendKeyed(kServers, "e1", aHarness.EntryOf("e1"));
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(4);
    CHECK(served == 4);
  }(harness));
}

// Guards against daemons that tell each other for good that an engine leaves,
// when another writer has overwritten its entry once.
TEST_CASE("all daemons use an engine again once it renews its entry")
{
  PlatformHarness harness(26100);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  ServingState& peer = harness.AddPeerDaemon();
  harness.Run([](PlatformHarness& aHarness, ServingState& aPeer) -> Task<void> {
    co_await Sleep(Millis(500)); // until heartbeats have been exchanged
    for (ServingState* daemon : { aHarness.state.get(), &aPeer }) {
      daemon->backendsRead = false;
      daemon->pool.First().Spawn(WatchBackendList(*daemon));
    }
    co_await WaitForListRead();
    aHarness.store.AppendKeyed(kServers, "e1", "no entry");
    co_await WaitForListRead();
    const std::size_t meanwhile = co_await aHarness.SendRequests(1);
    CHECK(meanwhile == 0);
    for (int i = 0; i < 3; ++i) {
      aHarness.store.AppendKeyed(kServers, "e1", aHarness.EntryOf("e1"));
      co_await WaitForListRead();
    }
    const std::size_t served = co_await aHarness.SendRequests(4);
    CHECK(served == 4);
    CallerMessage message;
    message.path = "/look/1";
    const CallerResponse atPeer =
      co_await aHarness.SendRequestToPeer(std::move(message));
    CHECK(atPeer.status == 200);
  }(harness, peer));
}

// Guards against an engine that leaves coming back by the same rule.
TEST_CASE("an engine that leaves stays unused after an overwritten entry")
{
  PlatformHarness harness(26020);
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    ServingState& state = *aHarness.state;
    state.pool.First().Spawn(WatchBackendList(state));
    co_await Settle();
    aHarness.store.AppendKeyed(kServers, "e1", "{}");
    co_await WaitForListRead();
    state.backends.MarkLeaving(InstanceId{ "e1" }, 1);
    aHarness.store.AppendKeyed(kServers, "e1", aHarness.EntryOf("e1"));
    co_await WaitForListRead();
    const std::size_t served = co_await aHarness.SendRequests(1);
    CHECK(served == 0);
  }(harness));
}

// Guards against fields that another writer adds to a request by an engine's
// id, and against daemons that cannot read each other's messages any more.
TEST_CASE("an id that is no header's value names no engine")
{
  const std::vector<std::string> ids{ "",         "e1\r\nTenant: x",
                                      "e1\nx",    std::string("e1\0x", 4),
                                      "\xff\xfe", "\x1b[2J" };
  PlatformHarness harness(26040);
  harness.AddEngine("e1", "plain");
  for (const std::string& id : ids) {
    harness.store.AppendKeyed(kServers, id, harness.EntryOf("e1"));
  }
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->backendsRead = false;
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Settle();
  }(harness));
  CHECK(harness.state->backendsRead);
  REQUIRE(harness.state->backends.All().size() == 1);
  CHECK(harness.state->backends.Find(InstanceId{ "e1" }) != nullptr);
}

} // namespace toucanshed::test
