/** \file
 * Chooses the back end for one send, from what is known of all of them.
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

/** What placement needs to know of a request. */
struct PlacementRequest
{
  std::vector<PromptSection> prompt;
  /** Back ends that have read its shared part. */
  std::vector<InstanceId> cachedBackends;
  /** Back ends that take a few requests only, as they are in need. */
  std::set<InstanceId> rateLimited;
  /** Back ends that have had this request. */
  std::set<InstanceId> triedBackends;
};

/** How fast engines of a service have been seen to work. */
struct EngineSpeed
{
  /** Prompt tokens read in a millisecond. The first figure is a cautious one;
   * what is seen replaces it within tens of answers. */
  double promptTokensPerMs = 40;
  /** Time of one token of output while few requests run. */
  double outputTokenMs = 4;
};

/** The back end that was chosen and what is expected of it. */
struct Placement
{
  InstanceId backend;
  double expectedMs = 0; // until the answer begins
  std::uint64_t uncachedTokens = 0;
  /** Prompt tokens of other requests that are to be read before. */
  std::uint64_t queuedTokens = 0;
  /** All of a service's back ends are as full as they may be. */
  bool atCapacity = false;
};

std::uint64_t
TotalTokens(const std::vector<PromptSection>& aPrompt);

/** Tokens that no other request brings. */
std::uint64_t
UnsharedTokens(const std::vector<PromptSection>& aPrompt);

/** The last part that other requests may share; empty when there is none. */
std::string
SharedSectionId(const std::vector<PromptSection>& aPrompt);

/**
 * A request goes where its shared part was read already, unless the queue there
 * costs more than reading it again. A part that nobody has read goes to the
 * engine that its id names by rendezvous hashing, the same at every daemon, so
 * that two daemons that meet it at the same time choose alike.
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

  /** \return nothing when no back end may be sent to. */
  std::optional<Placement> Choose(const std::vector<Backend*>& aBackends,
                                  const PlacementRequest& aRequest,
                                  const EngineTraits* aTraits,
                                  TimePoint aNow) const;

  /** Learns from an answer that began.
   * \param aTokens prompt tokens that the back end had to read before it, the
   *   request's own with them
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
