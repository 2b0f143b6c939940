// A daemon beside a store with another writer's entries, or in trouble.
#include "test/ServedPlatform.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

/** Of each entry: a page of the list holds three. */
constexpr std::size_t kValueBytes = 250000;

PlatformLimits
WithEntries(const std::vector<std::string>& aKeys, const std::string& aValue)
{
  PlatformLimits limits;
  for (const std::string& key : aKeys) {
    limits.otherEntries.emplace_back(key, aValue);
  }
  return limits;
}

} // namespace

// Guards against a daemon that does not start, as a page of the list ends at a
// key that is no valid escape.
TEST_CASE("a daemon starts beside a key that is no valid escape")
{
  ServedPlatform platform(WithEntries({ "a01", "a02", "a04%", "a06" },
                                      std::string(kValueBytes, 'v')));
  CheckSurvives(platform);
}

// Guards against a daemon that runs out of memory as it starts, as a page of
// the list ends at a key that is read as another one and comes again.
TEST_CASE("a daemon starts beside a key that reads as an earlier one")
{
  ServedPlatform platform(WithEntries({ "a05!", "a05*", "a05+", "a06" },
                                      std::string(kValueBytes, 'v')));
  CheckSurvives(platform);
}

// Guards against a daemon that keeps all of a response of the store that has no
// end, and runs out of memory.
TEST_CASE("responses of the store without end are not held")
{
  ServedPlatform platform{ {} };
  platform.MakeStoreEndless();
  CheckSurvives(platform);
}

} // namespace toucanshed::test
