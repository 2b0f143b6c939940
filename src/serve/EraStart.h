/** \file
 * Learns from the store when its present era began.
 */
#pragma once

#include "base/StorePosition.h"
#include "base/Types.h"
#include "edge/Task.h"

#include <optional>

namespace toucanshed {

struct ServingState;

/**
 * A process that starts after the store came back from a copy knows the number
 * of the era, but not how long ago it began. The first duty holder of each era
 * writes to the store a time at which the era had begun, and that record stays.
 *
 * Thread safety: belongs to the worker.
 */
class EraStart
{
public:
  explicit EraStart(ServingState& aState);

  /** Reads the time from the store, and writes it if the store has none of the
   * present era. Does nothing when the time is known. */
  Task<void> Learn();
  /** A cluster time at which the present era had begun; nothing while the store
   * has not confirmed one. */
  [[nodiscard]] std::optional<TimePoint> BegunBy() const;

private:
  /** The store's time for an era; its earliest one if daemons wrote several. */
  Task<void> Read(StoreEra aEra);
  Task<void> Write(StoreEra aEra);

  ServingState& state;
  StoreEra readIn; // the era in which the record was read last
  bool isRead = false;
  StoreEra knownEra; // that begunBy is about
  std::optional<TimePoint> begunBy;
};

} // namespace toucanshed
