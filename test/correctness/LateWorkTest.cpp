#include "coord/LateWork.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

namespace toucanshed::test {
namespace {

/** A prompt that an engine is to read, and when its caller came. */
struct Prompt
{
  TimePoint arrived;
  double readingMs = 0;
};

/** One engine that reads prompts one after the other, first come first served,
 * and daemons before it that know how much it has to read. */
class OneEngine
{
public:
  static constexpr Millis kTarget{ 600 };
  static constexpr Millis kDeadline{ 10000 };

  explicit OneEngine(bool aStandBack)
    : standBack(aStandBack)
  {
  }

  /** Plays arrivals every aEvery.
   * \return the part of them whose answers began on time. */
  double Play(Millis aFor, Millis aEvery, double aReadingMs)
  {
    const TimePoint end = this->now + aFor;
    std::size_t asked = 0;
    this->onTime = 0;
    TimePoint next = this->now;
    while (this->now < end) {
      if (next <= this->now) {
        this->waiting.push_back(Prompt{ this->now, aReadingMs });
        next = next + aEvery;
        ++asked;
      }
      this->SendWhatMay();
      this->now = this->now + Millis(1);
      this->backlogMs = std::max(0.0, this->backlogMs - 1);
    }
    return static_cast<double>(this->onTime) / static_cast<double>(asked);
  }

private:
  void SendWhatMay()
  {
    // The newest first, as each coroutine asks by itself and those that have
    // just come ask at once.
    std::vector<Prompt> stay;
    for (auto it = this->waiting.rbegin(); it != this->waiting.rend(); ++it) {
      const double expected = this->backlogMs + it->readingMs;
      const Millis waited = this->now - it->arrived;
      const SendAdvice advice =
        this->standBack ? LateWork::Advise(SendChance{ waited,
                                                       kTarget,
                                                       kDeadline - waited,
                                                       expected,
                                                       it->readingMs,
                                                       this->backlogMs <= 0 })
                        : SendAdvice::eSend;
      if (advice == SendAdvice::eWait) {
        stay.push_back(*it);
      }
      if (advice == SendAdvice::eSend) {
        this->backlogMs = expected;
        const double begins = static_cast<double>(waited.count()) + expected;
        const auto target = static_cast<double>(kTarget.count());
        this->onTime += begins <= target ? 1 : 0;
      }
    }
    std::reverse(stay.begin(), stay.end());
    this->waiting = std::move(stay);
  }

  bool standBack;
  TimePoint now{ 0 };
  double backlogMs = 0;
  std::size_t onTime = 0;
  std::vector<Prompt> waiting;
};

} // namespace

TEST_CASE("a burst while engines are missing keeps most answers on time")
{
  // The engine that is left can read half of the prompts that come, for five
  // seconds. Sent on as they come they all wait behind each other, and after
  // the first second none begins on time. What would begin late stands back, so
  // the engine's time goes to what can still be on time.
  constexpr Millis kShortage{ 5000 };
  constexpr Millis kEvery{ 50 };
  constexpr double kReading = 100;
  constexpr double kBearable = 0.5;
  OneEngine sendsAll(false);
  CHECK(sendsAll.Play(kShortage, kEvery, kReading) < kBearable / 2);
  OneEngine standsBack(true);
  CHECK(standsBack.Play(kShortage, kEvery, kReading) >= 0.8 * kBearable);
}

TEST_CASE("engines that bear the load have nothing stand back")
{
  constexpr double kReading = 100;
  OneEngine engine(true);
  CHECK(engine.Play(Millis(20000), Millis(125), kReading) == 1);
}

TEST_CASE("work that is late is sent once an engine is nearly free")
{
  SendChance chance{ Millis(800), Millis(600), Millis(9000), 700, 200, false };
  CHECK(LateWork::Advise(chance) == SendAdvice::eWait);
  chance.expectedMs = 200;
  CHECK(LateWork::Advise(chance) == SendAdvice::eSend);
}

TEST_CASE("late work is refused while its caller can still come back")
{
  SendChance chance{ Millis(899), Millis(600), Millis(9000), 700, 200, false };
  CHECK(LateWork::Advise(chance) == SendAdvice::eWait);
  chance.waited = Millis(900);
  CHECK(LateWork::Advise(chance) == SendAdvice::eRefuse);
  chance = SendChance{ Millis(500), Millis(600), Millis(400), 700, 200, false };
  CHECK(LateWork::Advise(chance) == SendAdvice::eRefuse);
}

TEST_CASE("an idle engine is sent to however slow it was")
{
  // A service's only engine was slow for a while and is idle now. Its answers
  // are expected late, and only another answer can show that they are not.
  const SendChance chance{
    Millis(0), Millis(600), Millis(9000), 4000, 200, true
  };
  CHECK(LateWork::Advise(chance) == SendAdvice::eSend);
}

TEST_CASE("a short prompt does not stand back")
{
  const SendChance chance{
    Millis(0), Millis(300), Millis(9000), 450, 10, false
  };
  CHECK(LateWork::Advise(chance) == SendAdvice::eSend);
}

TEST_CASE("a request without a target never stands back")
{
  const SendChance chance{
    Millis(0), Millis(0), Millis(900), 5000, 200, false
  };
  CHECK(LateWork::Advise(chance) == SendAdvice::eSend);
}

} // namespace toucanshed::test
