/** \file
 * Measures the load that a daemon's callers offer to each service.
 */
#pragma once

#include "RateMeter.h"
#include "ServiceDemand.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace toucanshed {

/** An admitted request, as the meter counts it. */
struct AdmittedRequest
{
  int priority = 0;
  std::uint64_t unsharedTokens = 0; // of its prompt
  std::uint64_t sharedTokens = 0;   // of sections that others may share
  bool isLong = false; // its prompt is long, as the caller defines it
  /** Tokens that an engine's memory holds; nothing: unknown. */
  std::optional<std::uint64_t> engineTokens;
};

/**
 * Counts each admitted request once, whether it is then sent, waits or is
 * rejected. Unlike the requests in the engines' slots, this does not grow when
 * engines are missing and requests accumulate.
 *
 * Thread safety: none; the owner serialises.
 */
class OfferedLoad
{
public:
  /** Services measured at the same time; a request of a further one replaces
   * the one without requests for the longest time. */
  static constexpr std::size_t kMaxServices = 64;
  /** Tokens of a prompt that count if an engine's memory is unknown. */
  static constexpr std::uint64_t kMaxPromptTokens = 1U << 20U;
  /** Longest time in a slot that counts. */
  static constexpr Millis kMaxSlotTime{ 60000 };
  /** Time in a slot that is assumed until responses have finished. */
  static constexpr Millis kInitialSlotTime{ 1000 };
  /** Fraction of the shared tokens that is assumed not to be cached until
   * requests were sent. */
  static constexpr double kInitialUncached = 0.3;

  void RecordAdmission(const ServiceId& aService,
                       const AdmittedRequest& aRequest,
                       TimePoint aNow);
  /** Records how many of the shared tokens of a sent request an engine has to
   * prefill. */
  void RecordSend(const ServiceId& aService,
                  std::uint64_t aSharedTokens,
                  std::uint64_t aUncachedShared,
                  TimePoint aNow);
  /** Records how long a finished request was in its slot.
   * Invalid times, below 0, have no effect. */
  void RecordFinish(const ServiceId& aService,
                    int aPriority,
                    bool aIsLong,
                    Millis aSlotTime);

  /** The measured load; empty for an unknown service. */
  [[nodiscard]] DemandByPriority At(const ServiceId& aService,
                                    TimePoint aNow) const;
  [[nodiscard]] std::vector<ServiceId> Services() const;

private:
  /** Learns the usual time in a slot of engines that are not overloaded: a low
   * quantile of the means of small groups of responses. The mean of a group
   * contains short and long responses alike, and an overload raises the means
   * of the groups that it lasts for only. */
  class SlotTime
  {
  public:
    void Add(double aMs);
    [[nodiscard]] double Ms() const;

  private:
    static constexpr std::size_t kGroupSize = 8;
    static constexpr std::size_t kGroups = 16;

    double groupSum = 0;
    std::size_t groupCount = 0;
    std::array<double, kGroups> means{};
    std::size_t meansCount = 0; // all that were added
  };
  struct Requests
  {
    RateMeter requests;
    RateMeter unsharedTokens;
    RateMeter sharedTokens;
    SlotTime slotTime;
  };
  struct Service
  {
    std::map<std::size_t, Requests> shortPrompts; // by priority
    std::map<std::size_t, Requests> longPrompts;
    RateMeter sentShared;     // shared tokens of sent requests
    RateMeter uncachedShared; // of them, those to prefill
    std::optional<TimePoint> firstAdmission;
    TimePoint lastAdmission;
    std::uint64_t admissions = 0;

    /** Compensates for the time before the first admission, in which the rates
     * are averaged as zero. */
    [[nodiscard]] double StartFactor(TimePoint aNow) const;
    [[nodiscard]] double UncachedFraction(TimePoint aNow) const;
  };

  Service& ServiceFor(const ServiceId& aService);

  std::map<ServiceId, Service> services;
};

} // namespace toucanshed
