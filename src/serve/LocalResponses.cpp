#include "LocalResponses.h"

#include "ServingState.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace toucanshed {

namespace {

/** First and longest wait of a refused caller. A place frees within some
 * hundred ms, the time that a short answer takes. */
constexpr Millis kMinRetryDelay{ 150 };
constexpr Millis kRetryDelayJitter{ 600 };

} // namespace

HttpResponse
MakeLocalResponse(const ServingState& aState,
                  const AttemptId& aAttempt,
                  unsigned aStatus,
                  const std::string& aReason,
                  std::optional<Millis> aComeBack)
{
  const boost::json::object body{ { "error", aReason },
                                  { "request", aAttempt.value } };
  HttpResponse reply =
    MakeResponse(aStatus, boost::json::serialize(body) + "\n");
  if (aComeBack) {
    constexpr double kMillis = 1000;
    std::array<char, 32> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%.3f",
                  static_cast<double>(aComeBack->count()) / kMillis);
    reply.set(http::field::retry_after, text.data());
  }
  aState.wire.callers.completeLocalResponse(aAttempt, reply);
  return reply;
}

Millis
RetryDelayFor(ServingState& aState, Millis aLeft)
{
  constexpr int kUsedPart = 4; // a little less than the third that is waited
  const auto spread = Millis(static_cast<std::int64_t>(aState.random.NextBelow(
    static_cast<std::uint64_t>(kRetryDelayJitter.count()))));
  const Millis most = std::max(Millis(1), aLeft / kUsedPart);
  return std::min(kMinRetryDelay + spread, most);
}

} // namespace toucanshed
