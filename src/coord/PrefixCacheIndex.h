/** \file
 * Which back ends have read a shared part of prompts lately.
 */
#pragma once

#include "base/Types.h"

#include <map>
#include <string>
#include <vector>

namespace toucanshed {

/**
 * Filled from this daemon's own sends and the other daemons' notices, not from
 * the engines' cache events, which come late and cost a call each. What an
 * engine has dropped meanwhile is read again there; the guess costs no more.
 *
 * Thread safety: none; the owner serialises.
 */
class PrefixCacheIndex
{
public:
  /** Engines keep a part for much longer unless their memory runs out; within
   * this time reading it again elsewhere is a waste. */
  static constexpr Millis kEntryRetention{ 30000 };
  /** Parts remembered; beyond, those used longest ago go. At 100 B each this
   * is half a megabyte. */
  static constexpr std::size_t kMaxSections = 5000;

  void RecordUse(const std::string& aPart,
                 const InstanceId& aBackend,
                 TimePoint aNow);
  /** Back ends that have read it. */
  [[nodiscard]] std::vector<InstanceId> CachedBackends(const std::string& aPart,
                                                       TimePoint aNow) const;

private:
  void DropOldest();

  using LastUses = std::map<InstanceId, TimePoint>;
  std::map<std::string, LastUses> sections;
};

} // namespace toucanshed
