/** \file
 * Chooses the back end for one request.
 */
#pragma once

#include "BackendTable.h"
#include "EngineCapacity.h"
#include "PromptPools.h"
#include "PromptSection.h"

#include <map>
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
  bool isLong = false; // see IsLongPrompt
  /** Of the reports of the other daemons' load. */
  LoadAge loadAge;
  /** Differs between requests. While the others' sends are not known at once,
   * it spreads those that all daemons would send to the same engine. */
  std::uint64_t spreadKey = 0;
  /** Tokens that it will hold in the engine's memory; 0: unknown. */
  std::uint64_t memoryTokens = 0;
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
  /** Slots of the back end that are not in use. */
  double freeSlots = 0;
  /** Time that the back end needs for the prompts ahead. */
  double prefillAheadMs = 0;
  /** The same for this request's own prompt. */
  double prefillMs = 0;
  /** Tokens ahead, with those that other daemons have probably sent since their
   * reports. */
  double aheadTokens = 0;
  /** Of them, those whose sends are known: all, or this daemon's. */
  double knownAheadTokens = 0;
  /** Whether the other daemons' sends are known at once. */
  bool knowsQueue = true;
  /** Expected until the response begins, of a back end with the service's usual
   * speed, with the known tokens ahead. */
  double usualMs = 0;
  /** Expected time per output token at the usual speed. */
  double usualStepMs = 0;
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
 * see a new section at the same time make the same choice. While the engines
 * are divided into pools, both are chosen in the prompt's own pool, unless an
 * engine of the other one is better by more than what the request costs there.
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

  /** Updates the estimates from a response that began.
   * \param aMs time from the send to the first event, or to the whole response
   */
  void RecordResponseStart(const Placement& aPlacement, double aMs);
  /** Updates the step time from a response that ended.
   * \param aTokenMs mean time between two output tokens */
  void RecordSteps(const Placement& aPlacement, double aTokenMs);
  /** Updates what a request usually holds in an engine's memory. */
  void RecordMemory(std::uint64_t aTokens);

  /** Updates the usual output of a priority's requests. */
  void RecordOutput(int aPriority, std::uint64_t aTokens);
  /** Usual output tokens of a priority's requests; 0: unknown. */
  [[nodiscard]] std::uint64_t UsualOutput(int aPriority) const;

  /** Whether long and short prompts have engines of their own. */
  [[nodiscard]] bool ArePoolsActive() const { return this->pools.Active(); }
  /** Divides the engines into pools; see PromptPools::Update. */
  bool UpdatePools(const std::vector<Backend*>& aEngines,
                   std::optional<double> aLongShare,
                   TimePoint aNow)
  {
    return this->pools.Update(aEngines, aLongShare, aNow);
  }
  [[nodiscard]] bool ArePoolsDue(TimePoint aNow) const
  {
    return this->pools.IsDue(aNow);
  }

  [[nodiscard]] const EngineSpeed& Speed() const { return this->speed; }
  /** Whether enough responses were seen here to report the speed. */
  [[nodiscard]] bool HasLearnedSpeed() const
  {
    return this->learnedStarts >= kLearnedResponses;
  }
  /** Takes over what other daemons have learned, until this one has learned
   * its own. Values that are not positive or out of range are ignored. */
  void AdoptSpeed(const EngineSpeed& aReported);
  /** Prefill speed by which all daemons agree about which prompts are long:
   * what the others report, or else this daemon's own estimate. */
  [[nodiscard]] double AgreedTokensPerMs() const
  {
    return this->reportedTokensPerMs > 0 ? this->reportedTokensPerMs
                                         : this->speed.promptTokensPerMs;
  }

private:
  /** What the choice between back ends depends on. */
  struct Candidate
  {
    const Backend* backend = nullptr;
    EngineCapacity capacity;
    std::uint64_t tokens = 0; // to prefill
    double expectedMs = 0;
    double score = 0; // the lowest wins
    bool atCapacity = false;
  };
  /** What is the same for all back ends of one choice. */
  struct Choice;

  /** Rates a back end. One with a score of aBound or more is not chosen, so the
   * rest of its candidate may be missing. */
  [[nodiscard]] Candidate Rate(const Backend& aBackend,
                               const Choice& aChoice,
                               double aBound) const;
  /** Cost of an engine that was not drawn for the request. */
  [[nodiscard]] static double NotDrawnCost(const Backend& aBackend,
                                           const Choice& aChoice);
  /** Cost of a long prompt, and of a request outside its pool, to the requests
   * that run at the engine, in milliseconds. */
  [[nodiscard]] double CostToOthers(const Candidate& aCandidate,
                                    bool aIsLong) const;
  [[nodiscard]] Placement ToPlacement(const Candidate& aBest,
                                      const LoadAge& aAge) const;

  static constexpr unsigned kLearnedResponses = 10;

  ZoneId zone;
  EngineSpeed speed;
  double reportedTokensPerMs = 0; // 0: nothing reported
  unsigned learnedStarts = 0;
  double usualResponseMs = 100;       // of plain back ends
  double usualMemoryTokens = 0;       // of a request; 0: unknown
  std::map<int, double> usualOutputs; // tokens, by priority
  PromptPools pools;
};

} // namespace toucanshed
