/** \file
 * Determines which incarnation of an instance the platform's list marks as
 * leaving.
 */
#pragma once

#include "base/Types.h"

#include <map>
#include <string>

namespace toucanshed {

/**
 * The list names instances, not incarnations, and lags. When an instance is
 * reclaimed and a new process starts under its name, the list marks it as
 * leaving for some more time. If the mark applied to the new process, that
 * process would get no requests for as long as the mark stays. So the mark
 * applies to the incarnation that ran when the list first set it, until the
 * list removes it.
 *
 * Thread safety: none; the owner serialises.
 */
class LeavingIncarnations
{
public:
  /** \param aIncarnation the incarnation that runs now
   * \param aListed whether the list marks the instance as leaving now
   * \return whether this incarnation is leaving according to the list */
  bool IsLeaving(const InstanceId& aId,
                 const std::string& aIncarnation,
                 bool aListed);

private:
  std::map<InstanceId, std::string> incarnations;
};

} // namespace toucanshed
