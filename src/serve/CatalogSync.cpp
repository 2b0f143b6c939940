#include "CatalogSync.h"

#include "OperatorRecords.h"
#include "ServingState.h"
#include "edge/HttpExchange.h"
#include "edge/HttpResponder.h"
#include "edge/Worker.h"

namespace toucanshed {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr Millis kPollInterval{ 200 };
constexpr Millis kTimeout{ 600 };
/** How long another daemon's configuration may be newer before it is fetched,
 * as a fraction of the time within which a change must be in force. Mostly this
 * daemon reads it from the store meanwhile. */
constexpr double kLagFraction = 0.5;

/** The live daemon with the newest configuration, if it is newer than here. */
const serving::DaemonHeartbeat*
FindNewerCatalog(const ServingState& aState)
{
  std::uint64_t newest = aState.catalog ? aState.catalog->version : 0;
  const serving::DaemonHeartbeat* found = nullptr;
  for (const serving::DaemonHeartbeat* heartbeat :
       aState.peers.LiveHeartbeats(ServingState::Now())) {
    if (heartbeat->catalog_version() > newest) {
      newest = heartbeat->catalog_version();
      found = heartbeat;
    }
  }
  return found;
}

Task<void>
FetchCatalog(ServingState& aState, std::string aDaemon, std::string aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return;
  }
  const CallTimeouts timeouts{ kTimeout, kTimeout, kTimeout };
  HttpRequest request = MakeRequest(http::verb::get, kCatalogPath);
  auto response = co_await Fetch(
    aState.pool.First(), *endpoint, std::move(request), timeouts);
  serving::OperatorRecord fetched;
  const bool valid = response && response->result_int() == kOk &&
                     fetched.ParseFromString(response->body());
  aState.log.Emit(Event("catalog.fetched")
                    .With("from", aDaemon)
                    .With("bytes", valid ? fetched.value().size() : 0));
  if (valid) {
    KeyedRecord record;
    record.key = fetched.key();
    record.value = fetched.value();
    record.position = Unpack(fetched.position());
    ApplyOperatorRecord(aState, record);
  }
}

} // namespace

Task<void>
SendCatalogRecord(ServingState& aState, HttpResponder& aResponder)
{
  serving::OperatorRecord record;
  const KeyedRecord& known = aState.catalogRecord;
  if (known.value) {
    record.set_key(known.key);
    record.set_value(*known.value);
    record.set_position(Pack(known.position));
  }
  HttpResponse response = MakeResponse(known.value ? kOk : kNotFound,
                                       record.SerializeAsString(),
                                       "application/octet-stream");
  co_await aResponder.Send(std::move(response));
}

Task<void>
FollowPeerCatalogs(ServingState& aState)
{
  std::optional<TimePoint> behindSince;
  while (true) {
    co_await Sleep(kPollInterval);
    const auto* newer = FindNewerCatalog(aState);
    if (newer == nullptr) {
      behindSince.reset();
      continue;
    }
    const TimePoint now = ServingState::Now();
    behindSince = behindSince.value_or(now);
    const auto bound =
      static_cast<double>(aState.settings.bounds.configurationDelay.count());
    const Millis lag(static_cast<std::int64_t>(kLagFraction * bound));
    if (now - *behindSince >= lag) {
      std::string daemon = newer->id();
      std::string address = newer->address();
      co_await FetchCatalog(aState, std::move(daemon), std::move(address));
    }
  }
}

} // namespace toucanshed
