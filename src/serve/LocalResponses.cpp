#include "LocalResponses.h"

#include "ServingState.h"
#include "coord/RetryWindow.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace toucanshed {

namespace {

constexpr Millis kMinRetryDelay = RetryWindow::kMinDelay;
constexpr Millis kRetryDelayJitter = RetryWindow::kMinWidth;

Millis
RandomBelow(ServingState& aState, Millis aLimit)
{
  const auto limit =
    static_cast<std::uint64_t>(std::max(Millis(1), aLimit).count());
  return Millis(static_cast<std::int64_t>(aState.random.NextBelow(limit)));
}

} // namespace

void
SetRetryAfter(Millis aDelay, HttpResponse& aResponse)
{
  constexpr double kMillis = 1000;
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                static_cast<double>(aDelay.count()) / kMillis);
  aResponse.set(http::field::retry_after, text.data());
}

HttpResponse
MakeLocalResponse(const ServingState& aState,
                  const AttemptId& aAttempt,
                  unsigned aStatus,
                  const std::string& aReason,
                  std::optional<Millis> aRetryAfter)
{
  const boost::json::object body{ { "error", aReason },
                                  { "request", aAttempt.value } };
  HttpResponse response =
    MakeResponse(aStatus, boost::json::serialize(body) + "\n");
  if (aRetryAfter) {
    SetRetryAfter(*aRetryAfter, response);
  }
  aState.wire.callers.completeLocalResponse(aAttempt, response);
  return response;
}

Millis
RetryDelayFor(ServingState& aState,
              Millis aTimeLeft,
              std::optional<Millis> aKnownWait,
              std::optional<QueueOutlook> aQueue)
{
  if (aQueue && !aKnownWait) {
    const RetryWindow window =
      RetryWindow::Of(aQueue->rank, aQueue->expectedWait, aTimeLeft);
    return window.earliest +
           RandomBelow(aState, window.latest - window.earliest);
  }
  // The returns after a known wait are spread over a fraction of it.
  constexpr int kSpreadDivisor = 4;
  const Millis spread = std::max(
    kRetryDelayJitter, aKnownWait.value_or(Millis(0)) / kSpreadDivisor);
  const Millis jitter = RandomBelow(aState, spread);
  if (aKnownWait) {
    return std::max(*aKnownWait, kMinRetryDelay) + jitter;
  }
  // A little less than the third of their time that callers wait.
  const Millis maxDelay =
    std::max(Millis(1), aTimeLeft / RetryWindow::kTimeLeftDivisor);
  return std::min(kMinRetryDelay + jitter, maxDelay);
}

} // namespace toucanshed
