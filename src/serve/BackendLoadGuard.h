/** \file
 * Adds a request to its back end's load while it is in flight there, and to the
 * requests whose silence is watched.
 */
#pragma once

#include "coord/BackendTable.h"
#include "coord/SilentSends.h"

#include <algorithm>

namespace toucanshed {

/**
 * Thread safety: none; belongs to the worker. The table and the watched sends
 * must outlive it.
 */
class BackendLoadGuard
{
public:
  /** \param aSilenceLimit until the response begins */
  BackendLoadGuard(BackendTable& aTable,
                   SilentSends& aSends,
                   InstanceId aBackend,
                   Millis aSilenceLimit,
                   std::int64_t aPromptTokens,
                   std::uint64_t aHeldTokens,
                   TimePoint aNow)
    : table(aTable)
    , sends(aSends)
    , backend(std::move(aBackend))
    , silence{ this->backend, 0, 0, aNow, aSilenceLimit }
    , load{ 1, aPromptTokens }
    , heldTokens(aHeldTokens)
  {
    if (Backend* found = this->table.Find(this->backend)) {
      this->silence.listing = found->listing;
      this->silence.incarnation = found->entry.incarnation;
      found->lastSentAt = aNow;
      const bool idle = found->localLoad.running <= found->silentRequests;
      found->lastProgressAt = idle ? aNow : found->lastProgressAt;
      found->heldTokens += aHeldTokens;
    }
    this->AddLoad(1);
    this->sends.Add(this->silence);
  }
  ~BackendLoadGuard() { this->Release(); }
  BackendLoadGuard(const BackendLoadGuard&) = delete;
  BackendLoadGuard& operator=(const BackendLoadGuard&) = delete;

  /** Removes the request from the load: the back end has done its part, however
   * long the caller takes to read the response. */
  void Release()
  {
    if (this->released) {
      return;
    }
    this->released = true;
    this->sends.Remove(this->silence);
    this->AddLoad(-1);
    if (Backend* found = this->Listed()) {
      found->heldTokens -= std::min(found->heldTokens, this->heldTokens);
    }
  }

  /** Removes the prompt tokens from the load: the first token means that
   * prefill is done. */
  void RecordFirstToken()
  {
    this->AddLoad(-1);
    this->load.promptTokens = 0;
    this->AddLoad(1);
  }

  /** The back end has sent data.
   * \param aSilenceLimit from now on */
  void RecordData(TimePoint aNow, Millis aSilenceLimit)
  {
    this->silence.limit = aSilenceLimit;
    this->sends.RecordSign(this->silence, aNow);
    this->table.RecordProgress(this->backend, aNow);
  }

  /** Nothing is read from the back end, which may have to wait: the caller is
   * being written to, or there is no room for more. */
  void StopReading()
  {
    this->silence.awaitsBackend = false;
    this->AddUnread(1);
  }
  void ResumeReading(TimePoint aNow)
  {
    this->AddUnread(-1);
    this->silence.awaitsBackend = true;
    this->silence.lastSignAt = aNow;
    if (Backend* found = this->Listed()) {
      found->lastProgressAt = aNow;
    }
  }

private:
  /** The back end as it was when this was made; null once it is removed. */
  [[nodiscard]] Backend* Listed()
  {
    return this->table.FindListing(this->backend, this->silence.listing);
  }
  void AddUnread(std::int64_t aCount)
  {
    if (Backend* found = this->Listed()) {
      found->unreadResponses =
        std::max<std::int64_t>(0, found->unreadResponses + aCount);
    }
  }
  void AddLoad(std::int64_t aSign)
  {
    if (Backend* found = this->Listed()) {
      found->localLoad.running += aSign * this->load.running;
      found->localLoad.promptTokens += aSign * this->load.promptTokens;
    }
  }

  BackendTable& table;
  SilentSends& sends;
  InstanceId backend;
  SendSilence silence;
  BackendLoad load;
  bool released = false;
  std::uint64_t heldTokens; // of the engine's memory, prompt and output
};

} // namespace toucanshed
