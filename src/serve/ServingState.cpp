#include "ServingState.h"

#include "PeerLink.h"
#include "base/Hash.h"
#include "coord/StoreReaders.h"

#include <chrono>
#include <cmath>
#include <ctime>

namespace toucanshed {

ServingState::ServingState(ServingSettings aSettings,
                           WireFormats aWire,
                           std::uint64_t aLife)
  : settings(std::move(aSettings))
  , wire(std::move(aWire))
  , life(aLife)
  , startedAt(Now())
  , log(settings.id.value, [] { return TimePoint{ WallMs() }; })
  , retries(RetryAllowance{ settings.bounds.retryRatio,
                            settings.bounds.retrySlack,
                            settings.bounds.retryWindow })
  , quotas(QuotaTolerance{ settings.bounds.quotaWindow,
                           settings.bounds.quotaOvershoot,
                           settings.bounds.quotaSlack })
  , quotaExchange(settings.id)
  , usage(settings.bounds.usageWindow)
  , moves(ExposureLimits{ settings.bounds.exposureShare })
  , evidence(settings.id.value + "/" + std::to_string(aLife))
  , peers(settings.id)
  , limitSharers(settings.id, startedAt)
  , engineLimits(limitSharers)
  , storeOutage(settings.heartbeat)
  , random(Hash64(settings.id.value, aLife))
{
}

TimePoint
ServingState::Now()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint{ std::chrono::duration_cast<Millis>(now).count() };
}

TimePoint
ServingState::BootTime()
{
  constexpr std::int64_t kMillis = 1000;
  constexpr std::int64_t kNanos = 1000000;
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint{ now.tv_sec * kMillis + now.tv_nsec / kNanos };
}

std::int64_t
ServingState::WallMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

std::int64_t
ServingState::TrueMs() const
{
  const TimePoint now = Now();
  return now.ms + this->peers.TrueOffset(WallMs(), now);
}

bool
ServingState::Ready() const
{
  return this->catalog != nullptr && this->backendsRead && !this->stopping;
}

std::optional<std::size_t>
ServingState::ReaderTurn() const
{
  const TimePoint now = Now();
  const bool reaches = !this->stopping && !this->storeLost;
  // When hundreds start together, each would read for all until it has heard
  // the others; those that are listed will speak before long.
  const bool starting = now - this->startedAt < this->peers.Silent();
  const auto place =
    ReaderPlace(this->settings.id,
                reaches,
                this->peers.Live(now),
                starting ? this->peers.Unheard() : std::vector<DaemonId>{});
  return place && *place < kStoreReaders ? place : std::nullopt;
}

void
ServingState::CountQuotaUse(TimePoint aNow)
{
  const Millis silent = this->peers.Silent();
  const double part =
    this->quotaExchange.HeardPart(aNow, silent, !this->storeLost);
  this->quotas.SetPart(part, aNow);
  const Millis usual = PeerLink::MeanInterval(this->Daemons());
  this->quotas.SetWordGap(this->quotaExchange.WordGap(aNow, silent, usual),
                          aNow);
  this->LogLimitsPart(part);
  for (const TeamId& team : this->quotas.Unsettled(aNow)) {
    if (const auto level = this->quotaExchange.ToldLevel(team, aNow)) {
      this->quotas.Settle(team, *level, aNow);
    }
  }
  for (const auto& [team, taken] : this->quotaExchange.TakeUse(aNow, silent)) {
    this->quotas.TakenElsewhere(team, taken, aNow);
  }
}

void
ServingState::LogLimitsPart(double aPart)
{
  constexpr double kWorthTelling = 0.1;
  constexpr double kPercent = 100;
  if (std::abs(aPart - this->loggedLimitsPart) < kWorthTelling) {
    return;
  }
  this->loggedLimitsPart = aPart;
  this->log.Emit(Event("limits.part")
                   .With("percent", static_cast<std::int64_t>(aPart * kPercent))
                   .With("daemons", this->Daemons())
                   .With("store_reached", this->storeLost ? 0 : 1));
}

std::size_t
ServingState::Daemons() const
{
  return this->peers.Count(Now());
}

} // namespace toucanshed
