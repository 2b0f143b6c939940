/** \file
 * The events of daemons' log files that a report is made from.
 */
#pragma once

#include "base/Types.h"

#include <istream>
#include <string>
#include <vector>

namespace toucanshed {

/** A request that ended or was refused. */
struct RequestRecord
{
  std::string request;
  std::string daemon;
  std::string route;
  std::string team;
  std::string backend; // the last one it was sent to
  std::string reason;
  std::string sharedSection; // the longest that its prompt shares with others
  TimePoint arrivedAt;       // of its arrival
  TimePoint endedAt;         // of the event
  unsigned status = 0;       // 0: its caller left
  unsigned sends = 0;
  std::int64_t firstTokenMs = 0;
  std::int64_t firstTokenTargetMs = 0;   // 0: not known
  std::int64_t maxTokenGapMs = 0;        // longest pause between two pieces
  std::int64_t tokenGapTargetMs = 0;     // 0: none
  std::int64_t expectedFirstTokenMs = 0; // of the last send
  std::int64_t queuedTokens = 0;
  std::int64_t sharedTokens = 0; // of its prompt
  bool sharedPrefilled = false;  // they were to be read by the engine
};

/** A send that was not simply answered. */
struct SendRecord
{
  std::string request;
  std::string backend;
  std::string outcome;
  std::string reason;
};

enum class EngineStage
{
  eListed,
  eLeaving,
  eGone,
  eCrashed,
};

/** What a daemon learnt of a back end. */
struct EngineChange
{
  std::string backend;
  std::string service;
  std::string zone;
  EngineStage stage = EngineStage::eListed;
  TimePoint at;
};

/** Engines that were ordered. */
struct LoggedScaleOrder
{
  std::string zone;
  std::int64_t desired = 0;
  bool reclaimable = false;
  bool accepted = false;
  TimePoint at;
};

/** A process that started, and in which failure domain. */
struct DaemonStart
{
  std::string daemon;
  std::string zone;
  TimePoint at;
};

/** A line that cannot be used. */
struct UnreadableLine
{
  std::string file;
  std::size_t line = 0; // from 1; 0: the file as a whole
  std::string reason;
};

struct LogEvents
{
  std::vector<RequestRecord> requests;
  std::vector<SendRecord> sends;
  std::vector<EngineChange> engineChanges;
  std::vector<LoggedScaleOrder> scaleOrders;
  std::vector<DaemonStart> daemonStarts;
  std::vector<UnreadableLine> unreadable;
  std::size_t eventLines = 0;
};

/** Adds a file's events. Lines that cannot be read are noted by file and
 * number, and the rest still counts.
 * Thread safety: none; aEvents belongs to the caller. */
void
ReadLogEvents(const std::string& aFile,
              std::istream& aInput,
              LogEvents& aEvents);

} // namespace toucanshed
