#include "test/PlatformHarness.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {
namespace {

constexpr unsigned kBadGateway = 502;
constexpr std::size_t kEngines = 4;
constexpr Millis kEventInterval{ 50 };
constexpr Millis kEngineReturn{ 300 };
constexpr Millis kSettleTime{ 500 };
/** Of these the third crash blocks the request; two more may be needed. */
constexpr std::size_t kTries = 10;
constexpr std::size_t kMaxCrashes = 5;

CallerMessage
MessageOf(const std::string& aPath,
          const std::string& aAttempt,
          const std::string& aSections)
{
  CallerMessage message;
  message.path = aPath;
  message.attempt = aAttempt;
  message.body = aSections; // the same in each try
  message.fields = { { "Prefix-Hash", aSections } };
  return message;
}

struct Outcome
{
  CallerResponse last;        // to the crashing request
  std::size_t soundWhole = 0; // sound streams after it
};

/** Sends the crashing request to both daemons in turn, then sound ones. */
Task<void>
SendCrashing(PlatformHarness& aHarness, std::string aPath, Outcome& aOutcome)
{
  co_await Sleep(kSettleTime);
  for (std::size_t i = 0; i < kTries; ++i) {
    CallerMessage message =
      MessageOf(aPath, "n" + std::to_string(i), "system:100,bad:50,own:40");
    if (i % 2 == 0) {
      aOutcome.last = co_await aHarness.SendRequest(std::move(message));
    } else {
      aOutcome.last = co_await aHarness.SendRequestToPeer(std::move(message));
    }
    co_await Sleep(kEngineReturn + Millis(100));
  }
  for (std::size_t i = 0; i < kTries; ++i) {
    CallerMessage message =
      MessageOf(aPath, "s" + std::to_string(i), "system:100,good:50,own:40");
    const CallerResponse response =
      co_await aHarness.SendRequest(std::move(message));
    aOutcome.soundWhole += response.complete ? 1 : 0;
  }
}

} // namespace

// Guards against a request that crashes engine after engine, and cuts the
// streams of others there, since it does so only in the midst of its response.
TEST_CASE("a request that crashes engines in mid-stream is sent to few")
{
  const std::string path = GENERATE(as<std::string>{}, "/chat/1", "/report/1");
  const std::uint64_t events = GENERATE(2, 8, 15);
  PlatformHarness harness(24900);
  for (std::size_t i = 0; i < kEngines; ++i) {
    auto& engine = harness.AddEngine("e" + std::to_string(i), "model");
    engine.eventInterval = kEventInterval;
    engine.eventsPerStream = 18;
    engine.eventsBeforeCrash = events;
  }
  harness.AddPeerDaemon();
  harness.CrashEnginesAt("bad", kEngineReturn);
  Outcome outcome;
  harness.Run(SendCrashing(harness, path, outcome));
  INFO(path << ", crash after " << events << " events");
  CHECK(harness.CrashedEngines() >= 3);
  CHECK(harness.CrashedEngines() <= kMaxCrashes);
  CHECK(outcome.last.status == kBadGateway);
  CHECK(outcome.last.retryAfter.empty());
  CHECK(outcome.soundWhole == kTries);
}

} // namespace toucanshed::test
