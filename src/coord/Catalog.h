/** \file
 * The configuration in force: which requests exist, who may send them, and
 * which services answer them. Immutable once built, so that every decision
 * about one request is made from one version.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** What may be repeated. */
enum class RequestKind
{
  eIdempotent,       // may run more than once
  eAtMostOnce,       // may run at most once
  eAtMostOnceStream, // a stream that may run at most once
  eResumableStream,  // a stream that may go on elsewhere after its last event
};

/** Whether a request of this kind may be sent again after it may have run. */
constexpr bool
IsRetrySafe(RequestKind aKind)
{
  return aKind == RequestKind::eIdempotent ||
         aKind == RequestKind::eResumableStream;
}

constexpr bool
IsStream(RequestKind aKind)
{
  return aKind == RequestKind::eAtMostOnceStream ||
         aKind == RequestKind::eResumableStream;
}

/** One of the services behind a route, and its part of the traffic. */
struct RouteTarget
{
  ServiceId service;
  std::uint32_t weight = 1;
};

/** One kind of request. */
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  RequestKind kind = RequestKind::eAtMostOnce;
  Millis timeout{ 0 };        // longest time a caller is kept waiting
  Millis latencyTarget{ 0 };  // answered (streams: begun) later is late
  Millis eventGapTarget{ 0 }; // a longer pause between events is late
  int priority = 0;           // 0 goes first
  std::vector<RouteTarget> targets;
  unsigned maxBackends = 1; // back ends that may run one request
  bool isPublic = false;    // needs no key
};

/** A model engine, alike for all engines of a service. */
struct EngineTraits
{
  unsigned slots = 1;
};

/** How many engines may be ordered, for each failure domain. */
struct ScaleBounds
{
  unsigned minEngines = 0;
  unsigned maxEngines = 0;
  Millis bootTime{ 0 };
  double reclaimablePriceRatio = 1; // against an on-demand engine beside it
  std::map<ZoneId, double> zonePrices;
};

struct ServiceSpec
{
  ServiceId id;
  std::optional<EngineTraits> engine;
  std::optional<ScaleBounds> scale;
};

struct Team
{
  TeamId id;
  std::optional<int> priority; // goes before the route's
  bool countsTokens = false;   // else its limit counts requests
  std::uint64_t defaultTokens =
    1;                      // charged for a request that states no tokens
  double ratePerSecond = 0; // 0: no limit
  double burst = 0;
};

/** What a caller may send, and how long it may take. */
struct RequestLimits
{
  std::uint32_t maxHeaderBytes = 16384;
  std::uint64_t maxBodyBytes = 1U << 20U;
  Millis headerTimeout{ 10000 };
  Millis idleTimeout{ 60000 };
};

/** Thread safety: immutable after it is filled. */
struct Catalog
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, ServiceSpec> services;
  std::vector<Team> teams;
  std::map<std::string, std::size_t, std::less<>> teamByKey;
  RequestLimits requestLimits;

  /** The route of this host with the longest prefix of aPath, or null. */
  [[nodiscard]] const Route* FindRoute(std::string_view aHost,
                                       std::string_view aPath) const;
  /** The team that holds the key, or null. */
  [[nodiscard]] const Team* FindTeam(std::string_view aKey) const;
  [[nodiscard]] const Team* FindTeamById(const TeamId& aId) const;
  [[nodiscard]] const ServiceSpec* FindService(const ServiceId& aId) const;
};

} // namespace toucanshed
