/** \file
 * Remembers the usage reports that duty holders have recorded.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace toucanshed {

/** What a duty holder knows of the time in which reports may have been lost. */
struct UsageHistory
{
  TimePoint startedAt;     // of its process
  TimePoint eraSince;      // when it learned that the store went back; 0: never
  bool firstOfEra = false; // its claim is the first record of the era
};

/** Whether a holder may add up the counts of a window that nobody is known to
 * have reported. */
enum class AddUpDecision
{
  eYes,
  eWait,  // other daemons may still send a report
  eNever, // a report may be lost, and this daemon would not have received it
};

/**
 * A report may have reached the cloud as soon as it is recorded, so a window's
 * counts must never change after that. The record may be gone: the store keeps
 * it for some seconds, or comes back from an older copy. Therefore each daemon
 * remembers what holders have recorded, and sends it to those that may be the
 * next holder.
 *
 * Thread safety: none; the owner serialises.
 */
class ReportedUsage
{
public:
  /** Windows that are remembered; many more than can still be reported. */
  static constexpr std::size_t kMaxWindows = 20;

  /** After the store went back, the other daemons send within this time which
   * reports were recorded. */
  static constexpr Millis kSettleTime{ 1500 };

  /** Remembers a report; the first one of a window counts.
   * \return whether it is news */
  bool Remember(const serving::UsageReport& aReport);
  /** Returns null when no report of the window is known. */
  [[nodiscard]] const serving::UsageReport* Find(std::uint64_t aWindow) const;
  /** All that are remembered, by window. */
  [[nodiscard]] const std::map<std::uint64_t, serving::UsageReport>& All() const
  {
    return this->reports;
  }

  /** \param aReportableFrom when the window could be reported first */
  [[nodiscard]] static AddUpDecision MayAddUp(const UsageHistory& aHistory,
                                              TimePoint aReportableFrom,
                                              TimePoint aNow);

private:
  std::map<std::uint64_t, serving::UsageReport> reports;
};

} // namespace toucanshed
