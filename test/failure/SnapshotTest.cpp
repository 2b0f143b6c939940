// Reads of the latest records of all keys, which the store returns in pages.
#include "test/PlatformHarness.h"

#include "serve/StoreClient.h"
#include "serve/StoreWatcher.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr const char* kServers = "keyed.servers";
constexpr const char* kOddValue = "{}";

Task<void>
ReadList(ServingState& aState, std::optional<Result<TopicPage>>& aRead)
{
  aRead = co_await ReadLatest(aState, StoreTopic::eBackends);
}

/** Reads the list until it is read, fails, or has cost more pages than it has.
 */
std::optional<Result<TopicPage>>
ReadWithin(PlatformHarness& aHarness, std::size_t aMaxPages)
{
  std::optional<Result<TopicPage>> read;
  aHarness.Run([](PlatformHarness& aTarget,
                  std::size_t aMost,
                  std::optional<Result<TopicPage>>& aRead) -> Task<void> {
    aTarget.state->pool.First().Spawn(ReadList(*aTarget.state, aRead));
    while (!aRead && aTarget.store.reads <= aMost) {
      co_await Sleep(Millis(1));
    }
    aTarget.store.down = !aRead; // ends a read that would not end
    while (!aRead) {
      co_await Sleep(Millis(1));
    }
  }(aHarness, aMaxPages, read));
  return read;
}

} // namespace

// Guards against a daemon that never becomes ready, or grows without end, as a
// page of the list ends at a key that a query must escape.
TEST_CASE("the list is read whole whatever keys its pages end at")
{
  const std::vector<std::string> keys{ "a02%41",      "a02A",    "a03%zz",
                                       "a04%",        "a05 ",    "a05+",
                                       "a06&after=b", "a07#b",   "a08=?/",
                                       "a09\r\nX: y", "a10\"\\", "e1" };
  PlatformHarness harness(25900);
  harness.store.maxRecordsPerPage = 1;
  for (const std::string& key : keys) {
    harness.store.AppendKeyed(kServers, key, kOddValue);
  }
  const auto read = ReadWithin(harness, 2 * keys.size());
  REQUIRE(read->has_value());
  std::vector<std::string> listed;
  for (const KeyedRecord& record : (*read)->records) {
    listed.push_back(record.key);
  }
  CHECK(listed == keys);
}

// Guards against a process that runs out of memory on pages that come round
// again, and against a part of the list taken for all of it.
TEST_CASE("pages that repeat end the read as failed")
{
  PlatformHarness harness(25920);
  harness.store.maxRecordsPerPage = 2;
  harness.store.ignoresAfter = true;
  for (const char* key : { "e1", "e2", "e3" }) {
    harness.store.AppendKeyed(kServers, key, kOddValue);
  }
  constexpr std::size_t kMaxPages = 20;
  const auto read = ReadWithin(harness, kMaxPages);
  CHECK_FALSE(read->has_value());
  CHECK(harness.store.reads <= kMaxPages);
}

// Guards against an engine that is dropped as the list has more than a page.
TEST_CASE("engines beyond the first page of the list are used")
{
  PlatformHarness harness(25940);
  harness.store.maxRecordsPerPage = 1;
  for (const char* key : { "a1%2", "a2+", "a3", "a4+" }) {
    harness.store.AppendKeyed(kServers, key, kOddValue);
  }
  harness.AddEngine("e1", "plain");
  harness.store.AppendKeyed(kServers, "e1", harness.EntryOf("e1"));
  harness.Run([](PlatformHarness& aHarness) -> Task<void> {
    aHarness.state->backendsRead = false;
    aHarness.state->pool.First().Spawn(WatchBackendList(*aHarness.state));
    co_await Sleep(Millis(300));
  }(harness));
  CHECK(harness.state->backendsRead);
  CHECK(harness.state->backends.Find(InstanceId{ "e1" }) != nullptr);
}

} // namespace toucanshed::test
