/** \file
 * Work accepted for later, folded from the log.
 */
#pragma once

#include "AppendQueue.h"
#include "BatchDeduplicator.h"
#include "base/Types.h"
#include "records.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanshed {

/** One accepted piece of work. */
struct WorkEntry
{
  WorkId id;
  ServiceId service;
  TeamId team;
  std::string body;
  std::optional<unsigned> status; // of the result, once there is one
  std::string result;
};

/**
 * Work is accepted once its record is read back, and belongs to no daemon:
 * which one runs it is a hint worked out from who is alive. Should two run
 * the same work, the first result in the log is the result.
 *
 * Thread safety: none; the owner serialises.
 */
class WorkTable
{
public:
  explicit WorkTable(WriterId aWriter);

  void Apply(std::uint64_t aOffset, const records::Batch& aBatch);

  /** Null when it is not known, or forgotten. */
  [[nodiscard]] const WorkEntry* Find(const WorkId& aId) const;
  /** Work without a result that aMe should run, of those alive. */
  [[nodiscard]] std::vector<WorkId> AssignedTo(
    const std::string& aMe,
    const std::vector<std::string>& aAlive) const;

  AppendQueue& Queue() { return this->queue; }
  [[nodiscard]] std::size_t UnfinishedCount() const
  {
    return this->unfinished.size();
  }

  /** Unfinished work accepted at the most; more is refused as not run. */
  static constexpr std::size_t kMaxUnfinished = 20000;
  /** Finished work kept for its callers; the oldest goes first. */
  static constexpr std::size_t kMaxFinished = 20000;

private:
  void Accept(const records::WorkAccepted& aAccepted);
  void Finish(const records::WorkResult& aResult);

  BatchDeduplicator filter;
  AppendQueue queue;
  std::map<WorkId, WorkEntry> entries;
  std::set<WorkId> unfinished;
  std::deque<WorkId> finished;
};

} // namespace toucanshed
