#include "LocalResponses.h"

#include "ServingState.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace toucanshed {

namespace {

/** Shortest delay of a rejected caller and the random addition to it. A slot
 * frees up within some hundred ms, the time of a short response. */
constexpr Millis kMinRetryDelay{ 150 };
constexpr Millis kRetryDelayJitter{ 600 };

} // namespace

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
    constexpr double kMillis = 1000;
    std::array<char, 32> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%.3f",
                  static_cast<double>(aRetryAfter->count()) / kMillis);
    response.set(http::field::retry_after, text.data());
  }
  aState.wire.callers.completeLocalResponse(aAttempt, response);
  return response;
}

Millis
RetryDelayFor(ServingState& aState,
              Millis aTimeLeft,
              std::optional<Millis> aKnownWait)
{
  // The returns after a known wait are spread over a fraction of it.
  constexpr int kSpreadDivisor = 4;
  const Millis spread = std::max(
    kRetryDelayJitter, aKnownWait.value_or(Millis(0)) / kSpreadDivisor);
  const auto jitter = Millis(static_cast<std::int64_t>(
    aState.random.NextBelow(static_cast<std::uint64_t>(spread.count()))));
  if (aKnownWait) {
    return std::max(*aKnownWait, kMinRetryDelay) + jitter;
  }
  // A little less than the third of their time that callers wait.
  constexpr int kWaitDivisor = 4;
  const Millis maxDelay = std::max(Millis(1), aTimeLeft / kWaitDivisor);
  return std::min(kMinRetryDelay + jitter, maxDelay);
}

} // namespace toucanshed
