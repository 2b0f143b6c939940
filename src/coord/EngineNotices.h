/** \file
 * What engines have stated about themselves in their responses: that they
 * leave, and how long they accept no requests from this daemon.
 */
#pragma once

#include "base/Types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace toucanshed {

/**
 * A statement binds from the response on until its incarnation is gone. The
 * backend list cannot revoke it: the list may be unreachable or be read late,
 * and an entry that disappears may be listed again. So statements are kept here
 * whether or not the engine is listed, and only an entry of a later incarnation
 * is free of them.
 *
 * An incarnation is known by its start time. An engine may have restarted under
 * its id before the list shows it, so the incarnation that was listed at a send
 * need not be the one that responded. But the one that responds is the one that
 * ran when the request was written. So a statement binds all incarnations that
 * had started by then.
 *
 * Thread safety: none; the owner serialises.
 */
class EngineNotices
{
public:
  /** Engines whose statements are kept: twice the engines of the largest
   * deployment. The oldest ones are dropped first. */
  static constexpr std::size_t kMaxEngines = 10000;

  /** The incarnations that started at aStartedBy or before accept no more
   * requests. */
  void RecordLeaving(const InstanceId& aId, std::int64_t aStartedBy);
  /** The incarnations that started at aStartedBy or before accept no requests
   * from this daemon before aUntil. A shorter rest does not replace a longer
   * one. */
  void RecordRest(const InstanceId& aId,
                  std::int64_t aStartedBy,
                  TimePoint aUntil);

  /** Precondition of both: aIncarnation is known, not 0. */
  [[nodiscard]] bool IsLeaving(const InstanceId& aId,
                               std::int64_t aIncarnation) const;
  /** End of the rest; time 0 when the incarnation has asked for none. */
  [[nodiscard]] TimePoint RestUntil(const InstanceId& aId,
                                    std::int64_t aIncarnation) const;

private:
  struct Notice
  {
    std::int64_t leavingStartedBy = 0; // 0: not leaving
    std::int64_t restStartedBy = 0;
    TimePoint restUntil;
  };

  Notice& FindOrAdd(const InstanceId& aId);

  std::map<InstanceId, Notice> notices;
  std::deque<InstanceId> oldestFirst; // keys of notices
};

} // namespace toucanshed
