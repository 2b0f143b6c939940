/** \file
 * What a back end's own responses show of its speed.
 */
#pragma once

#include "base/Types.h"

#include <array>
#include <cstddef>

namespace toucanshed {

/**
 * Medians over the latest responses. Some responses have a cached prompt and
 * others wait for prompts that are unknown here; a mean would follow these
 * outliers. A change of speed is followed after five responses.
 *
 * Thread safety: none; the owner serialises.
 */
class ObservedSpeed
{
public:
  /** Responses that a median covers. */
  static constexpr std::size_t kResponses = 9;
  static constexpr std::size_t kMedianRank = kResponses / 2;
  /** One of the responses may have had a cached prompt. */
  static constexpr std::size_t kLeastWaitRank = 1;

  /** A response began after aObservedMs, where aUsualMs were expected of an
   * engine with the service's usual speed.
   * \param aKnowsQueue whether aUsualMs covers all prompts ahead. Otherwise the
   *   responses that waited least count: they met an engine without others. */
  void RecordStart(double aObservedMs,
                   double aUsualMs,
                   bool aKnowsQueue,
                   TimePoint aNow);
  /** A response wrote its tokens aObservedMs apart on average, where aUsualMs
   * were expected. Values that are not positive are ignored. */
  void RecordSteps(double aObservedMs, double aUsualMs);

  /** Time to prefill a prompt over the service's usual one; 1 while there are
   * too few responses. */
  [[nodiscard]] double PrefillFactor() const { return this->prefillFactor; }
  /** The same for the time between two output tokens. */
  [[nodiscard]] double StepFactor() const { return this->stepFactor; }
  /** Recent time until a response began, for back ends without prompts. It
   * returns to aUsualMs when there are no responses, so that a back end that
   * was slow is tried again. */
  [[nodiscard]] double ResponseMs(double aUsualMs, TimePoint aNow) const;

private:
  /** Latest ratios of observed to usual times. Those not observed yet are 1. */
  struct Ratios
  {
    Ratios() { this->values.fill(1); }
    /** \return the value of that rank, with the new one */
    double Add(double aRatio, std::size_t aRank);

    std::array<double, kResponses> values{};
    std::size_t next = 0;
  };

  /** Weight of responseMs at the time, which falls with its age. */
  [[nodiscard]] double Remembered(TimePoint aNow) const;

  Ratios starts;
  Ratios steps;
  double prefillFactor = 1;
  double stepFactor = 1;
  double responseMs = 0; // average of the latest responses; 0: none
  TimePoint respondedAt;
};

} // namespace toucanshed
