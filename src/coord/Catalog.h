/** \file
 * The configuration in force: which requests exist, which teams may send them,
 * and which services handle them. It is immutable once built, so that all
 * decisions about one request use the same version.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace toucanshed {

/** Whether and how a request may be repeated. */
enum class RequestKind
{
  eIdempotent,       // may run more than once
  eAtMostOnce,       // may run at most once
  eAtMostOnceStream, // a stream that may run at most once
  eResumableStream,  // a stream that another back end may continue after its
                     // last event
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

/** A service behind a route, and the weight of its traffic share. */
struct RouteTarget
{
  ServiceId service;
  std::uint32_t weight = 1;
};

/** A kind of request. */
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  RequestKind kind = RequestKind::eAtMostOnce;
  Millis timeout{ 0 };        // maximum time until a caller's response
  Millis latencyTarget{ 0 };  // a later response (stream: its start) is late
  Millis eventGapTarget{ 0 }; // a longer gap between events is late
  int priority = 0;           // 0 goes first
  std::vector<RouteTarget> targets;
  unsigned maxBackends = 1;          // maximum back ends that run one request
  bool isPublic = false;             // requires no key
  std::set<RegionId> allowedRegions; // empty: all
};

/** Properties that all engines of a service share. */
struct EngineTraits
{
  unsigned slots = 1;
  std::uint64_t memoryTokens = 0; // prompt and output; 0: not configured
  unsigned tokensPerEvent = 1;
};

/** Limits and prices for the number of engines in each failure domain. */
struct ScaleBounds
{
  unsigned minEngines = 0;
  unsigned maxEngines = 0;
  Millis bootTime{ 0 };
  double reclaimablePriceRatio = 1; // to an on-demand engine of the zone
  std::map<ZoneId, double> zonePrices;
};

/** How a service's back ends warm up after their start. */
struct WarmupTraits
{
  Millis duration{ 0 };
  double ratePerSecond = 0; // requests that one tolerates meanwhile
};

struct ServiceSpec
{
  ServiceId id;
  std::optional<WarmupTraits> warmup; // nothing: usable at once
  std::optional<EngineTraits> engine;
  std::optional<ScaleBounds> scale;
};

struct Team
{
  TeamId id;
  std::optional<int> priority; // overrides that of the route
  bool countsTokens = false;   // otherwise its limit counts requests
  std::uint64_t defaultTokens =
    1;                      // for a request that states no number of tokens
  double ratePerSecond = 0; // 0: no limit
  double burst = 0;
  std::set<RegionId> allowedRegions; // empty: all
};

/** Limits on the size of a caller's request and on the time it takes. */
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

  /** Returns the route of aHost with the longest prefix of aPath, or null. */
  [[nodiscard]] const Route* FindRoute(std::string_view aHost,
                                       std::string_view aPath) const;
  /** Returns the team that owns the key, or null. */
  [[nodiscard]] const Team* FindTeam(std::string_view aKey) const;
  /** Returns null when there is no such team. */
  [[nodiscard]] const Team* FindTeamById(const TeamId& aId) const;
  /** Returns null when there is no such service. */
  [[nodiscard]] const ServiceSpec* FindService(const ServiceId& aId) const;
};

} // namespace toucanshed
