#include "test/PlatformWorld.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

// An engine in need is sent as much as any other after it has named its limit.
TEST_CASE("an engine gets no more than one and a half times its limit")
{
  constexpr double kPerS = 1;
  constexpr std::size_t kSeconds = 4;
  constexpr std::size_t kAllowed = 11; // 1.5 * kPerS * kSeconds + 5
  PlatformWorld world(22330);
  auto& needy = world.AddEngine("e1", "plain");
  needy.limit = std::to_string(kPerS);
  std::size_t before = 0;
  world.Run([](PlatformWorld& aWorld,
               standin::PlatformEngine& aNeedy,
               std::size_t& aBefore) -> Task<void> {
    CallerSend first;
    first.attempt = "first";
    co_await aWorld.Ask(std::move(first));
    co_await Sleep(std::chrono::milliseconds(500));
    aBefore = aNeedy.arrivals.size();
    constexpr int kAsked = 40;
    for (int i = 0; i < kAsked; ++i) {
      CallerSend send;
      send.attempt = "a" + std::to_string(i);
      co_await aWorld.Ask(std::move(send));
      co_await Sleep(std::chrono::milliseconds(1000 * kSeconds / kAsked));
    }
  }(world, needy, before));
  CHECK(needy.arrivals.size() - before <= kAllowed);
  CHECK(needy.arrivals.size() > before); // it is still asked
}

} // namespace toucanshed::test
