#include "RolloutStatuses.h"

#include "RolloutMonitor.h"
#include "ServingState.h"
#include "StoreClient.h"
#include "edge/Worker.h"

namespace toucanshed {

namespace {

constexpr Millis kRetryInterval{ 500 };
/** Other daemons may append in between, some at the same moment. */
constexpr int kMaxAppends = 4;

/** Returns the known order that a status is about. A status of an earlier era
 * names it by the identity that it had, one of a daemon that started later by
 * its latest record. */
Position
OrderOf(const ServingState& aState, const RolloutStatusRecord& aStatus)
{
  const Rollout* rollout = aState.rollouts.Find(aStatus.service);
  if (rollout == nullptr || rollout->order.target != aStatus.target) {
    return aStatus.order;
  }
  const RolloutOrder& order = rollout->order;
  const bool isEarlier =
    Unpack(aStatus.order.value).era < Unpack(order.position.value).era;
  const bool isLatestRecord = aStatus.order.value == Pack(order.record);
  return isEarlier || isLatestRecord ? order.position : aStatus.order;
}

bool
IsRolledBack(const ServingState& aState, const RolloutOrder& aOrder)
{
  const Rollout* rollout = aState.rollouts.Find(aOrder.service);
  return rollout != nullptr && rollout->order.position == aOrder.position &&
         rollout->phase == RolloutPhase::eRolledBack;
}

/** Appends a status behind those that were read. \return whether it was
 * appended; otherwise the statuses have to be read again. */
Task<bool>
AppendStatus(ServingState& aState, RolloutOrder aOrder, RolloutPhase aPhase)
{
  std::string record = aState.wire.store.keyedRecord(
    aState.wire.records.rolloutStatusKey(aOrder),
    aState.wire.records.rolloutStatus(aOrder, aPhase));
  const StorePosition end = *aState.statedRollouts.end;
  const auto appended =
    co_await AppendToStore(aState, StoreTopic::eStatus, std::move(record), end);
  if (!appended) {
    aState.statedRollouts.end.reset();
    co_return false;
  }
  aState.statedRollouts.end =
    StorePosition{ appended->offset + 1, appended->era };
  co_return true;
}

} // namespace

Task<bool>
ReadRolloutStatuses(ServingState& aState)
{
  const auto page = co_await ReadLatest(aState, StoreTopic::eStatus);
  if (!page) {
    co_return false;
  }
  StatedRollouts& stated = aState.statedRollouts;
  stated.ends.clear();
  stated.end = page->next;
  for (const KeyedRecord& record : page->records) {
    const auto status = aState.wire.records.readRolloutStatus(*record.value);
    if (!status) {
      continue;
    }
    const Position order = OrderOf(aState, *status);
    if (status->phase != RolloutPhase::eActive) {
      stated.ends[order] = status->phase;
    }
    aState.rollouts.RecordEnd(
      EndedRollout{ status->service, status->target, order, status->phase });
  }
  co_return true;
}

bool
IsRolloutEndStated(const ServingState& aState, const RolloutOrder& aOrder)
{
  return aState.statedRollouts.IsRead(aState.storeEra) &&
         aState.statedRollouts.ends.contains(aOrder.position);
}

Task<bool>
StateRolloutEnd(ServingState& aState, RolloutOrder aOrder, RolloutPhase aPhase)
{
  for (int i = 0; i < kMaxAppends; ++i) {
    const bool isRead = aState.statedRollouts.IsRead(aState.storeEra) ||
                        co_await ReadRolloutStatuses(aState);
    if (!isRead) {
      co_return false;
    }
    if (IsRolloutEndStated(aState, aOrder)) {
      co_return true;
    }
    const bool isRuledOut =
      aPhase == RolloutPhase::eCompleted && IsRolledBack(aState, aOrder);
    if (isRuledOut) {
      co_return false;
    }
    const bool appended = co_await AppendStatus(aState, aOrder, aPhase);
    if (appended) {
      aState.statedRollouts.ends[aOrder.position] = aPhase;
      EndRollout(aState, aOrder, aPhase);
      co_return true;
    }
  }
  co_return false;
}

Task<bool>
StateRolloutDelay(ServingState& aState, RolloutOrder aOrder)
{
  const bool isRead = aState.statedRollouts.IsRead(aState.storeEra) ||
                      co_await ReadRolloutStatuses(aState);
  if (!isRead || IsRolloutEndStated(aState, aOrder)) {
    co_return false;
  }
  co_return co_await AppendStatus(aState, aOrder, RolloutPhase::eActive);
}

Task<void>
StateRollback(ServingState& aState, RolloutOrder aOrder)
{
  while (aState.settings.store && !aState.stopping &&
         IsRolledBack(aState, aOrder)) {
    const bool stated =
      co_await StateRolloutEnd(aState, aOrder, RolloutPhase::eRolledBack);
    if (stated) {
      co_return;
    }
    co_await Sleep(kRetryInterval);
  }
}

} // namespace toucanshed
