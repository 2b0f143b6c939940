#include "ServingState.h"

#include "PeerMessenger.h"
#include "base/Hash.h"
#include "coord/PromptPools.h"
#include "coord/StoreReaders.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <ctime>

namespace toucanshed {

ServingState::ServingState(ServingSettings aSettings,
                           WireFormats aWire,
                           std::uint64_t aIncarnation)
  : settings(std::move(aSettings))
  , wire(std::move(aWire))
  , incarnation(aIncarnation)
  , startedAt(Now())
  , eraSeenAt(startedAt)
  , log(settings.id.value, [] { return TimePoint{ WallMs() }; })
  , loopLag(kTickInterval)
  , retries(
      RetryAllowance{ settings.bounds.retryRatio,
                      settings.bounds.retrySlack,
                      settings.bounds.retryWindow },
      [this](const ServiceId& aService) {
        return this->RetryCarryLimit(aService);
      },
      Random(Hash64(settings.id.value, aIncarnation)).NextUnit())
  , quotas(QuotaTolerance{ settings.bounds.quotaWindow,
                           settings.bounds.quotaOvershoot,
                           settings.bounds.quotaSlack })
  , quotaExchange(settings.id)
  , usage(settings.bounds.usageWindow)
  , crashSuspects([this] { return this->backends.All().size(); })
  , rollouts(ExposureLimits{ settings.bounds.exposureShare },
             [this](const Rollout& aRollout, TimePoint aNow) {
               const bool hasRoom = aNow >= aRollout.Deadline() ||
                                    this->exposure.HasRoom(aRollout.order);
               return hasRoom &&
                      this->statusesReadFor == this->orderSnapshots &&
                      this->limitShares.ReceivesFromMajority(aNow) &&
                      this->peers.ReceivesFromDutyCandidate(aNow);
             })
  , exposure(settings.bounds.exposureShare)
  , evidence(settings.id.value + "/" + std::to_string(aIncarnation))
  , peers(settings.id)
  , limitShares(settings.id, startedAt)
  , engineLimits(limitShares)
  , rejectionLimits(limitShares, RejectionLimitPolicy())
  , warmupLimits(limitShares)
  , sendGate(backends,
             engineLimits,
             rejectionLimits,
             warmupLimits,
             domainDrains,
             crashSuspects)
  , queues(
      [this](std::function<void()> aFunction) {
        boost::asio::post(this->pool.First().context, std::move(aFunction));
      },
      &Now,
      metrics)
  , storeOutage(settings.entryInterval)
  , random(Hash64(settings.id.value, aIncarnation))
{
}

std::optional<double>
ServingState::RetryCarryLimit(const ServiceId& aService) const
{
  if (!this->limitShares.IsListRead()) {
    return std::nullopt;
  }
  return this->limitShares.PartOfKnown(Hash64(aService.value),
                                       RetryCredit::kUsedShare *
                                         this->settings.bounds.retrySlack);
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
ServingState::ClusterTimeMs() const
{
  const TimePoint now = Now();
  return now.ms + this->peers.ClusterTimeOffset(WallMs(), now);
}

bool
ServingState::Ready() const
{
  return this->catalog != nullptr && this->backendsRead && !this->stopping;
}

bool
ServingState::HasLongPrompt(const ServiceId& aService,
                            std::uint64_t aTokens) const
{
  const auto placer = this->placers.find(aService);
  if (this->catalog == nullptr || placer == this->placers.end()) {
    return false;
  }
  return IsLongPrompt(static_cast<double>(aTokens),
                      placer->second.AgreedTokensPerMs(),
                      SmallestTarget(*this->catalog, aService));
}

std::optional<std::size_t>
ServingState::StoreReaderRank() const
{
  const TimePoint now = Now();
  const bool canRead = !this->stopping && !this->storeLostSince;
  // When hundreds start together, each would read for all until it has received
  // the others' heartbeats. Listed peers without a heartbeat yet therefore
  // count as ahead during the start: theirs will arrive soon.
  const bool starting = now - this->startedAt < this->peers.PeerTimeout();
  const auto rank = ReaderRank(this->settings.id,
                               canRead,
                               this->peers.LiveHeartbeats(now),
                               starting ? this->peers.PeersWithoutHeartbeat()
                                        : std::vector<DaemonId>{});
  return rank && *rank < kStoreReaders ? rank : std::nullopt;
}

void
ServingState::UpdateQuotas(TimePoint aNow)
{
  const Millis peerTimeout = this->peers.PeerTimeout();
  const double share = this->quotaExchange.ReachableShare(
    aNow, peerTimeout, !this->storeLostSince);
  this->quotas.SetReachableShare(share, aNow);
  const Millis meanInterval = PeerMessenger::MeanInterval(this->DaemonCount());
  this->quotas.SetReportInterval(
    this->quotaExchange.ReportInterval(aNow, peerTimeout, meanInterval), aNow);
  this->LogLimitShare(share);
  for (const TeamId& team : this->quotas.UnsyncedTeams(aNow)) {
    if (const auto level = this->quotaExchange.ReportedLevel(team, aNow)) {
      this->quotas.SyncLevel(team, *level, aNow);
    }
  }
  for (const auto& [team, used] :
       this->quotaExchange.TakeRemoteUsage(aNow, peerTimeout)) {
    this->quotas.AddRemoteUsage(team, used, aNow);
  }
}

void
ServingState::SuspectCold(const InstanceId& aBackend)
{
  constexpr int kRenewals = 2; // one may just have been written
  this->warmupLimits.Suspect(aBackend,
                             Now() + kRenewals * this->settings.entryInterval);
}

void
ServingState::CheckForPause()
{
  const auto pause = this->pauseDetector.Observe(BootTime());
  if (!pause) {
    return;
  }
  const TimePoint now = Now();
  this->paused = true;
  this->limitShares.RecordPause(now);
  this->warmupLimits.RecordPause(now);
  this->log.Emit(Event("process.resumed").With("ms", pause->count()));
}

void
ServingState::LogLimitShare(double aShare)
{
  constexpr double kMinLoggedChange = 0.1;
  constexpr double kPercent = 100;
  if (std::abs(aShare - this->loggedLimitShare) < kMinLoggedChange) {
    return;
  }
  this->loggedLimitShare = aShare;
  this->log.Emit(
    Event("limits.part")
      .With("percent", static_cast<std::int64_t>(aShare * kPercent))
      .With("daemons", this->DaemonCount())
      .With("store_reached", this->storeLostSince ? 0 : 1));
}

std::size_t
ServingState::DaemonCount() const
{
  return this->peers.LiveDaemons(Now());
}

} // namespace toucanshed
