#include "OwnAnswers.h"

#include "ServingState.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace toucanshed {

namespace {

/** First and longest wait of a refused caller. A place frees within some
 * hundred ms, the time that a short answer takes. */
constexpr Millis kSoonest{ 150 };
constexpr Millis kSpread{ 600 };

} // namespace

HttpReply
OwnAnswer(const ServingState& aState,
          const AttemptId& aAttempt,
          unsigned aStatus,
          const std::string& aReason,
          std::optional<Millis> aComeBack)
{
  const boost::json::object body{ { "error", aReason },
                                  { "request", aAttempt.value } };
  HttpReply reply = MakeReply(aStatus, boost::json::serialize(body) + "\n");
  if (aComeBack) {
    constexpr double kMillis = 1000;
    std::array<char, 32> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%.3f",
                  static_cast<double>(aComeBack->count()) / kMillis);
    reply.set(http::field::retry_after, text.data());
  }
  aState.wire.callers.complete(aAttempt, reply);
  return reply;
}

Millis
ComeBackAfter(ServingState& aState, Millis aLeft)
{
  constexpr int kUsedPart = 4; // a little less than the third that is waited
  const auto spread = Millis(static_cast<std::int64_t>(
    aState.random.Below(static_cast<std::uint64_t>(kSpread.count()))));
  const Millis most = std::max(Millis(1), aLeft / kUsedPart);
  return std::min(kSoonest + spread, most);
}

} // namespace toucanshed
