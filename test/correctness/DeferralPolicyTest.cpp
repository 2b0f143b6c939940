#include "coord/DeferralPolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

namespace toucanshed::test {
namespace {

/** A prompt that an engine is to read, and when its caller came. */
struct PendingPrompt
{
  TimePoint arrived;
  double prefillMs = 0;
};

/** One engine that reads prompts one after the other, first come first served,
 * and daemons before it that know how much it has to read. */
class SingleEngineSimulation
{
public:
  static constexpr Millis kTarget{ 600 };
  static constexpr Millis kDeadline{ 10000 };

  explicit SingleEngineSimulation(bool aStandBack)
    : deferLate(aStandBack)
  {
  }

  /** Plays arrivals every aEvery.
   * \return the part of them whose answers began on time. */
  double Run(Millis aFor, Millis aEvery, double aReadingMs)
  {
    const TimePoint end = this->now + aFor;
    std::size_t asked = 0;
    this->onTime = 0;
    TimePoint next = this->now;
    while (this->now < end) {
      if (next <= this->now) {
        this->waiting.push_back(PendingPrompt{ this->now, aReadingMs });
        next = next + aEvery;
        ++asked;
      }
      this->SendAllowed();
      this->now = this->now + Millis(1);
      this->backlogMs = std::max(0.0, this->backlogMs - 1);
    }
    return static_cast<double>(this->onTime) / static_cast<double>(asked);
  }

private:
  void SendAllowed()
  {
    // The newest first, as each coroutine asks by itself and those that have
    // just come ask at once.
    std::vector<PendingPrompt> stay;
    for (auto it = this->waiting.rbegin(); it != this->waiting.rend(); ++it) {
      const double expected = this->backlogMs + it->prefillMs;
      const Millis waited = this->now - it->arrived;
      const DeferralDecision advice =
        this->deferLate
          ? DeferralPolicy::Decide(DeferralInput{ waited,
                                                  kTarget,
                                                  kDeadline - waited,
                                                  expected,
                                                  it->prefillMs,
                                                  this->backlogMs <= 0 })
          : DeferralDecision::eSend;
      if (advice == DeferralDecision::eDefer) {
        stay.push_back(*it);
      }
      if (advice == DeferralDecision::eSend) {
        this->backlogMs = expected;
        const double begins = static_cast<double>(waited.count()) + expected;
        const auto target = static_cast<double>(kTarget.count());
        this->onTime += begins <= target ? 1 : 0;
      }
    }
    std::reverse(stay.begin(), stay.end());
    this->waiting = std::move(stay);
  }

  bool deferLate;
  TimePoint now{ 0 };
  double backlogMs = 0;
  std::size_t onTime = 0;
  std::vector<PendingPrompt> waiting;
};

} // namespace

TEST_CASE("deferral keeps most responses on time in a shortage")
{
  // The engine that is left can read half of the prompts that come, for five
  // seconds. Sent on as they come they all wait behind each other, and after
  // the first second none begins on time. What would begin late stands back, so
  // the engine's time goes to what can still be on time.
  constexpr Millis kShortage{ 5000 };
  constexpr Millis kEvery{ 50 };
  constexpr double kReading = 100;
  constexpr double kBearable = 0.5;
  SingleEngineSimulation sendsAll(false);
  CHECK(sendsAll.Run(kShortage, kEvery, kReading) < kBearable / 2);
  SingleEngineSimulation standsBack(true);
  CHECK(standsBack.Run(kShortage, kEvery, kReading) >= 0.8 * kBearable);
}

TEST_CASE("nothing is deferred while engines keep up")
{
  constexpr double kReading = 100;
  SingleEngineSimulation engine(true);
  CHECK(engine.Run(Millis(20000), Millis(125), kReading) == 1);
}

TEST_CASE("a late request is sent to a nearly idle engine")
{
  DeferralInput chance{
    Millis(800), Millis(600), Millis(9000), 700, 200, false
  };
  CHECK(DeferralPolicy::Decide(chance) == DeferralDecision::eDefer);
  chance.expectedMs = 200;
  CHECK(DeferralPolicy::Decide(chance) == DeferralDecision::eSend);
}

TEST_CASE("a late request is rejected in time to retry")
{
  DeferralInput chance{
    Millis(899), Millis(600), Millis(9000), 700, 200, false
  };
  CHECK(DeferralPolicy::Decide(chance) == DeferralDecision::eDefer);
  chance.waited = Millis(900);
  CHECK(DeferralPolicy::Decide(chance) == DeferralDecision::eReject);
  chance =
    DeferralInput{ Millis(500), Millis(600), Millis(400), 700, 200, false };
  CHECK(DeferralPolicy::Decide(chance) == DeferralDecision::eReject);
}

TEST_CASE("an idle engine gets requests even if it was slow")
{
  // A service's only engine was slow for a while and is idle now. Its answers
  // are expected late, and only another answer can show that they are not.
  const DeferralInput chance{ Millis(0), Millis(600), Millis(9000),
                              4000,      200,         true };
  CHECK(DeferralPolicy::Decide(chance) == DeferralDecision::eSend);
}

TEST_CASE("a short prompt is not deferred")
{
  const DeferralInput chance{ Millis(0), Millis(300), Millis(9000),
                              450,       10,          false };
  CHECK(DeferralPolicy::Decide(chance) == DeferralDecision::eSend);
}

TEST_CASE("a request without a latency target is not deferred")
{
  const DeferralInput chance{ Millis(0), Millis(0), Millis(900),
                              5000,      200,       false };
  CHECK(DeferralPolicy::Decide(chance) == DeferralDecision::eSend);
}

} // namespace toucanshed::test
