/** \file
 * Counts a request at a back end for as long as it is there.
 */
#pragma once

#include "coord/BackendTable.h"

namespace toucanshed {

/**
 * Thread safety: none; belongs to the worker. The table must outlive it.
 */
class BackendUse
{
public:
  BackendUse(BackendTable& aTable,
             InstanceId aBackend,
             std::int64_t aPromptTokens,
             TimePoint aNow)
    : table(aTable)
    , backend(std::move(aBackend))
    , load{ 1, aPromptTokens }
  {
    if (Backend* found = this->table.Find(this->backend)) {
      found->sentAt = aNow;
      const bool idle = found->own.running == 0;
      found->progressAt = idle ? aNow : found->progressAt;
    }
    this->Add(1);
  }
  ~BackendUse() { this->Add(-1); }
  BackendUse(const BackendUse&) = delete;
  BackendUse& operator=(const BackendUse&) = delete;

  /** The prompt was read. */
  void Began()
  {
    this->Add(-1);
    this->load.promptTokens = 0;
    this->Add(1);
  }

private:
  void Add(std::int64_t aSign)
  {
    if (Backend* found = this->table.Find(this->backend)) {
      found->own.running += aSign * this->load.running;
      found->own.promptTokens += aSign * this->load.promptTokens;
    }
  }

  BackendTable& table;
  InstanceId backend;
  BackendLoad load;
};

} // namespace toucanshed
