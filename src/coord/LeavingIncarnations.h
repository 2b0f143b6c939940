/** \file
 * Which life of an instance the platform's list means by "leaving".
 */
#pragma once

#include "base/Types.h"

#include <map>
#include <string>

namespace toucanshed {

/**
 * The list names instances, not lives, and lags. When an instance is reclaimed
 * and a new process starts under its name, the list calls it leaving for some
 * time yet; taken at its word, the new process would get no work for as long as
 * the mark is kept. So the word counts for the life that was there when the
 * list first gave it, until the list takes it back.
 *
 * Thread safety: none; the owner serialises.
 */
class LeavingIncarnations
{
public:
  /** \param aListed whether the list calls the instance leaving now.
   *  \param aLife the life that answers there now.
   *  \return whether this very life is leaving by the list. */
  bool IsLeaving(const InstanceId& aId, const std::string& aLife, bool aListed);

private:
  std::map<InstanceId, std::string> incarnations;
};

} // namespace toucanshed
