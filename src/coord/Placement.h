/** \file
 * Chooses the back end for one request.
 */
#pragma once

#include "BackendTable.h"
#include "PromptSection.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanshed {

struct EngineTraits;

/** Properties of a request that placement uses. */
struct PlacementRequest
{
  std::vector<PromptSection> prompt;
  /** Back ends that hold its shared section in their cache. */
  std::vector<InstanceId> cachedBackends;
  /** Back ends with a rate limit in effect. */
  std::set<InstanceId> rateLimited;
  /** Back ends that this request was sent to before. */
  std::set<InstanceId> triedBackends;
  /** It may crash its back end, so it goes to the one where it takes the fewest
   * other requests with it. */
  bool leastBusy = false;
};

/** Estimated speed of a service's engines. */
struct EngineSpeed
{
  /** Prompt tokens prefilled per millisecond. The initial value is
   * conservative; observations replace it within tens of responses. */
  double promptTokensPerMs = 40;
  /** Time per output token while few requests run. */
  double outputTokenMs = 4;
};

/** The chosen back end and the expected cost of running the request there. */
struct Placement
{
  InstanceId backend;
  double expectedMs = 0; // until the response begins
  std::uint64_t uncachedTokens = 0;
  /** Prompt tokens of other requests that the back end prefills first. */
  std::uint64_t queuedTokens = 0;
  /** Even the best back end is filled up to its slots and its allowed queue. */
  bool atCapacity = false;
};

std::uint64_t
TotalTokens(const std::vector<PromptSection>& aPrompt);

/** Tokens of the last section, which belongs to this request alone. */
std::uint64_t
UnsharedTokens(const std::vector<PromptSection>& aPrompt);

/** Id of the last section that other requests may share; empty when there is
 * none. */
std::string
SharedSectionId(const std::vector<PromptSection>& aPrompt);

/** Ids of all sections that other requests may share, separated by commas. */
std::string
SharedSectionIds(const std::vector<PromptSection>& aPrompt);

/**
 * Sends a request to an engine that caches its shared section, unless the queue
 * there costs more than prefilling the section again elsewhere. A section that
 * no engine caches goes to its preferred engine, selected by rendezvous hashing
 * of the section id. Every daemon selects the same engine, so two daemons that
 * see a new section at the same time make the same choice.
 *
 * Thread safety: none; the owner serialises.
 */
class Placer
{
public:
  explicit Placer(ZoneId aZone)
    : zone(std::move(aZone))
  {
  }

  /** \return nothing when no back end is eligible. */
  std::optional<Placement> Choose(const std::vector<Backend*>& aBackends,
                                  const PlacementRequest& aRequest,
                                  const EngineTraits* aTraits,
                                  TimePoint aNow) const;

  /** Updates the speed estimate from a response that began.
   * \param aTokens prompt tokens that the back end had to prefill before it,
   *   including the request's own
   * \param aMs time from the send to the first event */
  void RecordResponseStart(double aTokens, double aMs);

  [[nodiscard]] const EngineSpeed& Speed() const { return this->speed; }

private:
  [[nodiscard]] double ExpectedMs(const Backend& aBackend,
                                  std::uint64_t aTokens) const;

  ZoneId zone;
  EngineSpeed speed;
};

} // namespace toucanshed
