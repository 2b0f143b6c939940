#include "coord/DeferralPolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

namespace toucanshed::test {
namespace {

/** A prompt that waits for prefill, and its arrival time. */
struct PendingPrompt
{
  TimePoint arrived;
  double prefillMs = 0;
};

/** One engine that prefills prompts in the order in which they are sent, with
 * daemons that know its backlog. */
class SingleEngineSimulation
{
public:
  static constexpr Millis kTarget{ 600 };
  static constexpr Millis kDeadline{ 10000 };

  explicit SingleEngineSimulation(bool aDeferLate)
    : deferLate(aDeferLate)
  {
  }

  /** Simulates arrivals every aInterval for aDuration.
   * \param aPrefillMs prefill time of each prompt
   * \return the fraction of requests whose responses began on time */
  double Run(Millis aDuration, Millis aInterval, double aPrefillMs)
  {
    const TimePoint end = this->now + aDuration;
    std::size_t requestCount = 0;
    this->onTime = 0;
    TimePoint nextArrival = this->now;
    while (this->now < end) {
      if (nextArrival <= this->now) {
        this->waiting.push_back(PendingPrompt{ this->now, aPrefillMs });
        nextArrival = nextArrival + aInterval;
        ++requestCount;
      }
      this->SendAllowed();
      this->now = this->now + Millis(1);
      this->backlogMs = std::max(0.0, this->backlogMs - 1);
    }
    return static_cast<double>(this->onTime) /
           static_cast<double>(requestCount);
  }

private:
  void SendAllowed()
  {
    // The latest request is decided first, because each coroutine polls by
    // itself and new requests are decided on arrival.
    std::vector<PendingPrompt> stillWaiting;
    for (auto it = this->waiting.rbegin(); it != this->waiting.rend(); ++it) {
      const double expected = this->backlogMs + it->prefillMs;
      const Millis waited = this->now - it->arrived;
      const DeferralDecision decision =
        this->deferLate
          ? DeferralPolicy::Decide(DeferralInput{ waited,
                                                  kTarget,
                                                  kDeadline - waited,
                                                  expected,
                                                  it->prefillMs,
                                                  this->backlogMs <= 0 })
          : DeferralDecision::eSend;
      if (decision == DeferralDecision::eDefer) {
        stillWaiting.push_back(*it);
      }
      if (decision == DeferralDecision::eSend) {
        this->backlogMs = expected;
        const double startMs = static_cast<double>(waited.count()) + expected;
        const auto target = static_cast<double>(kTarget.count());
        this->onTime += startMs <= target ? 1 : 0;
      }
    }
    std::reverse(stillWaiting.begin(), stillWaiting.end());
    this->waiting = std::move(stillWaiting);
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
  // For five seconds the only engine can prefill half of the arriving prompts.
  // If they are sent on arrival, all queue behind each other, and after the
  // first second none begins on time. Deferring requests that would begin late
  // leaves the engine's time to those that can still be on time.
  constexpr Millis kShortage{ 5000 };
  constexpr Millis kInterval{ 50 };
  constexpr double kPrefillMs = 100;
  constexpr double kCapacityShare = 0.5;
  SingleEngineSimulation sendsAll(false);
  CHECK(sendsAll.Run(kShortage, kInterval, kPrefillMs) < kCapacityShare / 2);
  SingleEngineSimulation defersLate(true);
  CHECK(defersLate.Run(kShortage, kInterval, kPrefillMs) >=
        0.8 * kCapacityShare);
}

TEST_CASE("nothing is deferred while engines keep up")
{
  constexpr double kPrefillMs = 100;
  SingleEngineSimulation engine(true);
  CHECK(engine.Run(Millis(20000), Millis(125), kPrefillMs) == 1);
}

TEST_CASE("a late request is sent to a nearly idle engine")
{
  DeferralInput input{
    Millis(800), Millis(600), Millis(9000), 700, 200, false
  };
  CHECK(DeferralPolicy::Decide(input) == DeferralDecision::eDefer);
  input.expectedMs = 200;
  CHECK(DeferralPolicy::Decide(input) == DeferralDecision::eSend);
}

TEST_CASE("a late request is rejected in time to retry")
{
  DeferralInput input{
    Millis(899), Millis(600), Millis(9000), 700, 200, false
  };
  CHECK(DeferralPolicy::Decide(input) == DeferralDecision::eDefer);
  input.waited = Millis(900);
  CHECK(DeferralPolicy::Decide(input) == DeferralDecision::eReject);
  input =
    DeferralInput{ Millis(500), Millis(600), Millis(400), 700, 200, false };
  CHECK(DeferralPolicy::Decide(input) == DeferralDecision::eReject);
}

TEST_CASE("an idle engine gets requests even if it was slow")
{
  // A service's only engine was slow for a while and is idle now. Its responses
  // are expected late, and only another response can show that they are not.
  const DeferralInput input{ Millis(0), Millis(600), Millis(9000),
                             4000,      200,         true };
  CHECK(DeferralPolicy::Decide(input) == DeferralDecision::eSend);
}

TEST_CASE("a short prompt is not deferred")
{
  const DeferralInput input{ Millis(0), Millis(300), Millis(9000),
                             450,       10,          false };
  CHECK(DeferralPolicy::Decide(input) == DeferralDecision::eSend);
}

TEST_CASE("a request without a latency target is not deferred")
{
  const DeferralInput input{
    Millis(0), Millis(0), Millis(900), 5000, 200, false
  };
  CHECK(DeferralPolicy::Decide(input) == DeferralDecision::eSend);
}

} // namespace toucanshed::test
