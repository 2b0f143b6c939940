/** \file
 * Adds a request to its back end's load while it is in flight there.
 */
#pragma once

#include "coord/BackendTable.h"

#include <algorithm>

namespace toucanshed {

/**
 * Thread safety: none; belongs to the worker. The table must outlive it.
 */
class BackendLoadGuard
{
public:
  BackendLoadGuard(BackendTable& aTable,
                   InstanceId aBackend,
                   std::int64_t aPromptTokens,
                   std::uint64_t aHeldTokens,
                   TimePoint aNow)
    : table(aTable)
    , backend(std::move(aBackend))
    , load{ 1, aPromptTokens }
    , heldTokens(aHeldTokens)
  {
    if (Backend* found = this->table.Find(this->backend)) {
      found->lastSentAt = aNow;
      const bool idle = found->localLoad.running == 0;
      found->lastProgressAt = idle ? aNow : found->lastProgressAt;
      found->heldTokens += aHeldTokens;
    }
    this->AddLoad(1);
  }
  ~BackendLoadGuard()
  {
    this->AddLoad(-1);
    if (Backend* found = this->table.Find(this->backend)) {
      found->heldTokens -= std::min(found->heldTokens, this->heldTokens);
    }
  }
  BackendLoadGuard(const BackendLoadGuard&) = delete;
  BackendLoadGuard& operator=(const BackendLoadGuard&) = delete;

  /** Removes the prompt tokens from the load: the first token means that
   * prefill is done. */
  void RecordFirstToken()
  {
    this->AddLoad(-1);
    this->load.promptTokens = 0;
    this->AddLoad(1);
  }

private:
  void AddLoad(std::int64_t aSign)
  {
    if (Backend* found = this->table.Find(this->backend)) {
      found->localLoad.running += aSign * this->load.running;
      found->localLoad.promptTokens += aSign * this->load.promptTokens;
    }
  }

  BackendTable& table;
  InstanceId backend;
  BackendLoad load;
  std::uint64_t heldTokens; // of the engine's memory, prompt and output
};

} // namespace toucanshed
