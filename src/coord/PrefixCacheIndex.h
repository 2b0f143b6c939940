/** \file
 * Records which back ends have recently prefilled a shared prompt section.
 */
#pragma once

#include "base/Types.h"

#include <map>
#include <string>
#include <vector>

namespace toucanshed {

/**
 * Maps prompt sections to the back ends that probably cache them. It is filled
 * from this daemon's own sends and the other daemons' prompt notices, not from
 * the engines' cache events, which arrive late and cost a call each. If an
 * engine has evicted a section in the meantime, it prefills the section again;
 * a wrong entry costs no more than that.
 *
 * Thread safety: none; the owner serialises.
 */
class PrefixCacheIndex
{
public:
  /** Retention of an entry. Engines keep a section for much longer unless they
   * run out of memory; within this time, prefilling it on another engine is
   * wasted work. */
  static constexpr Millis kEntryRetention{ 30000 };
  /** Upper bound of the sections; beyond it the least recently used ones are
   * dropped. At 100 B each they take half a megabyte. */
  static constexpr std::size_t kMaxSections = 5000;

  void RecordUse(const std::string& aSection,
                 const InstanceId& aBackend,
                 TimePoint aNow);
  /** Back ends that have prefilled the section within kEntryRetention. */
  [[nodiscard]] std::vector<InstanceId> CachedBackends(
    const std::string& aSection,
    TimePoint aNow) const;

private:
  void DropOldest();

  using LastUses = std::map<InstanceId, TimePoint>;
  std::map<std::string, LastUses> sections;
};

} // namespace toucanshed
