/** \file
 * A shared table behind a mutex with a stated place in the lock order.
 */
#pragma once

#include "Invariant.h"

#include <mutex>
#include <utility>

namespace toucanshed {

/** Tables in the order in which their locks may be taken. A thread that holds
 * a lock may only take one with a higher rank, so no two can deadlock. */
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
/** Rank of the lock this thread took last; 0 when it holds none. */
inline thread_local int sHeldLockRank = 0;
} // namespace Internal

/**
 * Owns a T and lends it out under its lock.
 *
 * \code
 * Guarded<Router, LockRank::eRouter> router;
 * auto choice = router.With([&](Router& aRouter) { return aRouter.Pick(); });
 * \endcode
 *
 * Thread safety: With may be called from any thread. Precondition: the caller
 * holds no lock of the same or a higher rank; breaking that stops the process,
 * because the deadlock it risks would show only once in a while. The function
 * given must not block or suspend.
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
  decltype(auto) WithLock(F&& aUse)
  {
    const RankScope scope;
    const std::lock_guard<std::mutex> lock(this->mutex);
    return std::forward<F>(aUse)(this->table);
  }

private:
  struct RankScope
  {
    int previous = Internal::sHeldLockRank;

    RankScope()
    {
      Invariant(this->previous < static_cast<int>(kRank),
                "locks are taken in the order of LockRank");
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
