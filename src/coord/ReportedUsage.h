/** \file
 * Remembers the usage reports that duty holders have recorded.
 */
#pragma once

#include "base/Types.h"
#include "serving.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace toucanshed {

/** What a duty holder knows of the time in which reports may have been lost.
 * All times are cluster times. */
struct UsageHistory
{
  /** When this process first knew the store's present era. */
  TimePoint eraSeenAt;
  /** A time at which the era had begun, as the store keeps it; nothing while it
   * has not been read. */
  std::optional<TimePoint> eraBegunBy;
  /** The earliest time since which some live daemon, this one included, has
   * received every report; nothing if no daemon has said so. */
  std::optional<TimePoint> rememberedSince;
};

/** When a window ended, and when it could be reported first. Cluster times. */
struct WindowTimes
{
  TimePoint endedAt;
  TimePoint reportableFrom;
};

/** Whether a holder may add up the counts of a window that nobody is known to
 * have reported. */
enum class AddUpDecision
{
  eYes,
  eWait,  // other daemons may still send a report
  eNever, // a report may be lost, and no daemon would have received it
};

/**
 * A report may have reached the cloud as soon as it is recorded, so a window's
 * counts must never change after that. The record may be gone: the store keeps
 * it for some seconds, or comes back from an older copy. Therefore each daemon
 * remembers what holders have recorded, and sends it to those that may be the
 * next holder.
 *
 * That no report is known proves something only where it would be known: the
 * records of the store's present era have all of its reports, and a daemon has
 * received those that were recorded while it ran. A process that has started
 * since knows neither by itself.
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
  /** A daemon that speaks this long after the store went back has received all
   * reports that were recorded before. */
  static constexpr Millis kDeliveryTime{ 500 };
  /** Daemons that start alone may differ in their times of day by this much. */
  static constexpr Millis kMaxClockError{ 5000 };

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

  /** Whether a window of which no report is known may be added up.
   * \param aNow cluster time */
  [[nodiscard]] static AddUpDecision MayAddUp(const UsageHistory& aHistory,
                                              const WindowTimes& aWindow,
                                              TimePoint aNow);

private:
  std::map<std::uint64_t, serving::UsageReport> reports;
};

} // namespace toucanshed
