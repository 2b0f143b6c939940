/** \file
 * Accepted work, which is answered later, as read from the log.
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

/** One accepted request, which is answered later. */
struct WorkEntry
{
  WorkId id;
  ServiceId service;
  TeamId team;
  std::string body;
  std::optional<unsigned> status; // of the result; nullopt until there is one
  std::string result;
};

/**
 * Work is accepted once its record has been read back from the log. No daemon
 * owns it: the daemon to run it is derived from the daemons that are alive, and
 * two may disagree on it. If two run the same work, the first result in the log
 * is valid.
 *
 * Thread safety: none; the owner serialises.
 */
class WorkTable
{
public:
  explicit WorkTable(WriterId aWriter);

  /** Applies a batch of the log; the records of a repeated batch are ignored.
   */
  void Apply(std::uint64_t aOffset, const records::Batch& aBatch);

  /** Returns null when the work is unknown or no longer retained. */
  [[nodiscard]] const WorkEntry* Find(const WorkId& aId) const;
  /** Returns the work without a result that a daemon should run.
   * \param aDaemonId of that daemon
   * \param aAlive the ids of the daemons that are alive */
  [[nodiscard]] std::vector<WorkId> AssignedTo(
    const std::string& aDaemonId,
    const std::vector<std::string>& aAlive) const;

  AppendQueue& Queue() { return this->queue; }
  [[nodiscard]] std::size_t UnfinishedCount() const
  {
    return this->unfinished.size();
  }

  /** Maximum amount of unfinished work; more is rejected as not run. */
  static constexpr std::size_t kMaxUnfinished = 20000;
  /** Maximum amount of finished work retained for its callers; the oldest is
   * dropped first. */
  static constexpr std::size_t kMaxFinished = 20000;

private:
  void Accept(const records::WorkAccepted& aAccepted);
  void Finish(const records::WorkResult& aResult);

  BatchDeduplicator deduplicator;
  AppendQueue queue;
  std::map<WorkId, WorkEntry> entries;
  std::set<WorkId> unfinished;
  std::deque<WorkId> finished;
};

} // namespace toucanshed
