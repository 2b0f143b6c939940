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

} // namespace toucanshed::test
