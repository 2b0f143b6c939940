/** \file
 * A shared table with a mutex that has a rank in the lock order.
 */
#pragma once

#include "Invariant.h"

#include <mutex>
#include <utility>

namespace toucanshed {

/** The tables in the order in which their locks may be acquired. A thread that
 * holds a lock may only acquire locks with a higher rank, so that threads can't
 * deadlock. */
enum class LockRank
{
  eControl = 1,
  eClaims,
  eWork,
  eMembers,
  eEvidence,
  eFactTables,
  eAdmission,
  eRouter,
  eRetryBudget,
};

namespace Internal {
/** Rank of the lock that this thread acquired last; 0 if it holds none. */
inline thread_local int sHeldLockRank = 0;
} // namespace Internal

/**
 * Owns a T and gives access to it under a mutex.
 *
 * \code
 * Guarded<Router, LockRank::eRouter> router;
 * auto choice = router.WithLock(
 *   [&](Router& aRouter) { return aRouter.Pick(route, now); });
 * \endcode
 *
 * Thread safety: WithLock may be called from any thread. Precondition: the
 * caller holds no lock of the same or a higher rank. A violation aborts the
 * process, because the possible deadlock would occur only occasionally. The
 * function must not block or suspend.
 */
template<typename T, LockRank kRank>
class Guarded
{
public:
  template<typename... Args>
  explicit Guarded(Args&&... aArgs)
    : table(std::forward<Args>(aArgs)...)
  {
  }

  template<typename F>
  decltype(auto) WithLock(F&& aFunction)
  {
    const RankScope scope;
    const std::lock_guard<std::mutex> lock(this->mutex);
    return std::forward<F>(aFunction)(this->table);
  }

private:
  struct RankScope
  {
    int previous = Internal::sHeldLockRank;

    RankScope()
    {
      Invariant(this->previous < static_cast<int>(kRank),
                "locks are acquired in the order of LockRank");
      Internal::sHeldLockRank = static_cast<int>(kRank);
    }
    ~RankScope() { Internal::sHeldLockRank = this->previous; }
    RankScope(const RankScope&) = delete;
    RankScope& operator=(const RankScope&) = delete;
  };

  std::mutex mutex;
  T table;
};

} // namespace toucanshed
