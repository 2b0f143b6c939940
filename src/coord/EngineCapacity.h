/** \file
 * What an engine can take now, as far as this daemon knows.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <optional>

namespace toucanshed {

struct Backend;
struct EngineTraits;

/** Estimated speed of a service's engines. */
struct EngineSpeed
{
  /** Prompt tokens prefilled per millisecond. The initial value is
   * conservative; observations replace it within tens of responses. */
  double promptTokensPerMs = 40;
  /** Time per output token while few requests run. */
  double outputTokenMs = 4;
};

/** How old the load is that the other daemons report. */
struct LoadAge
{
  LoadAge() = default; // each send is known at once
  /** \param aMean mean age of the reports */
  explicit LoadAge(Millis aMean);

  /** Fraction of a reported load that is still there. The rest has ended, and
   * other requests have probably taken its place: an average of the reports
   * stands for them. */
  double fresh = 1;
};

/** What an engine can take. */
struct EngineCapacity
{
  double freeSlots = 0;
  /** Room in its memory; nothing when the memory is not configured. */
  std::optional<double> freeTokens;
  double aheadTokens = 0; // prompt tokens that it prefills first
  double prefillAheadMs = 0;
  double fill = 0; // requests that run there over its slots
  /** Requests that wait in the engine for a slot. */
  double queued = 0;

  /** \return time from a send to the first event of a prompt of aTokens that
   *   have to be prefilled */
  [[nodiscard]] double FirstEventMs(double aTokens) const
  {
    return this->prefillAheadMs + aTokens * this->msPerPromptToken +
           this->stepMs + this->queued * kQueuedRequestMs;
  }

  /** What each request that waits inside an engine adds. Such a request can be
   * neither refused nor moved. */
  static constexpr double kQueuedRequestMs = 40;

  double msPerPromptToken = 0;
  double stepMs = 0; // of one output token with the requests that run there
};

/** Slots that the engine is taken to have. After a rejection they are not more
 * than it was processing then, whatever it reports. */
unsigned
BelievedSlots(const Backend& aBackend, TimePoint aNow);

/** Estimates the capacity of an engine. Pure.
 * \param aUsual speed of the service's engines; the engine's own responses
 *   correct it
 * \param aTraits nullptr: properties of its engines are not configured
 * \param aUsualTokens that a request of the service usually holds in memory */
EngineCapacity
EstimateCapacity(const Backend& aBackend,
                 const EngineSpeed& aUsual,
                 const EngineTraits* aTraits,
                 const LoadAge& aAge,
                 double aUsualTokens,
                 TimePoint aNow);

/** Expected time until a plain back end responds: its recent response time and
 * the wait for a slot. Pure.
 * \param aUsualMs usual response time of the service's back ends */
double
PlainResponseMs(const Backend& aBackend,
                const LoadAge& aAge,
                double aUsualMs,
                TimePoint aNow);

} // namespace toucanshed
