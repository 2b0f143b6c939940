#include "coord/LimitSharers.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace toucanshed::test {
namespace {

constexpr Millis kSilence{ 1500 };
constexpr TimePoint kStart{ 10000 };
constexpr std::size_t kDaemons = 7;

DaemonId
IdOf(std::size_t aDaemon)
{
  return DaemonId{ "daemon-" + std::to_string(aDaemon) };
}

/** One daemon's view right after it has read the store's list. */
LimitSharers
ViewOf(std::size_t aDaemon)
{
  LimitSharers view(IdOf(aDaemon), kStart);
  view.SetSilence(kSilence);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    view.Learn(IdOf(i), kStart);
  }
  view.Listed();
  return view;
}

/** The first aHeard of the others have just spoken. */
void
HearSome(LimitSharers& aView, std::size_t aHeard, TimePoint aNow)
{
  for (std::size_t i = 1; i <= aHeard; ++i) {
    aView.Hear(IdOf(i), aNow);
  }
}

} // namespace

// Others still use what a daemon that has just come takes for its own.
TEST_CASE("a daemon uses no part before the others must have heard of it")
{
  LimitSharers view = ViewOf(0);
  const TimePoint soon = kStart + Millis(200);
  HearSome(view, kDaemons - 1, soon);
  CHECK_FALSE(view.MayUse(soon));
  CHECK(view.MayUse(kStart + kSilence));
}

// Both sides of a cut use the same parts.
TEST_CASE("a daemon that hears less than half of the others uses no part")
{
  LimitSharers view = ViewOf(0);
  const TimePoint later = kStart + Millis(20000);
  HearSome(view, 2, later);
  CHECK_FALSE(view.MayUse(later));
  HearSome(view, 3, later);
  CHECK(view.MayUse(later));
}

// A daemon that cannot be heard goes on with a part that another took over.
TEST_CASE("a silent daemon's part is kept until it must have ceased to use it")
{
  LimitSharers view = ViewOf(0);
  LimitSharers silent = ViewOf(kDaemons - 1);
  const TimePoint last = kStart + Millis(5000);
  HearSome(view, kDaemons - 1, last);
  HearSome(silent, kDaemons - 2, last);
  const TimePoint ceased = last + kSilence + Millis(1);
  CHECK_FALSE(silent.MayUse(ceased));
  CHECK(view.Count(ceased) == kDaemons);
  const TimePoint taken =
    last + LimitSharers::kSilencesKept * kSilence + Millis(1);
  HearSome(view, kDaemons - 2, taken);
  CHECK(view.Count(taken) == kDaemons - 1);
}

TEST_CASE("as many daemons have a part as there are parts")
{
  for (std::size_t parts = 1; parts <= kDaemons; ++parts) {
    std::size_t having = 0;
    for (std::size_t i = 0; i < kDaemons; ++i) {
      having += ViewOf(i).HasPart(42, parts, kStart) ? 1 : 0;
    }
    CHECK(having == parts);
  }
}

} // namespace toucanshed::test
