/** \file
 * Parses daemons' log files into the events that a report is made from.
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
  std::string backend; // the last back end it was sent to
  std::string reason;
  std::string sharedSection; // longest section that its prompt shares
  TimePoint arrivedAt;       // when the request arrived
  TimePoint endedAt;         // when it ended: time of the event
  unsigned status = 0;       // 0: its caller disconnected
  unsigned sends = 0;
  std::int64_t firstTokenMs = 0;
  std::int64_t firstTokenTargetMs = 0;   // 0: unknown
  std::int64_t maxTokenGapMs = 0;        // longest pause between two tokens
  std::int64_t tokenGapTargetMs = 0;     // 0: none
  std::int64_t expectedFirstTokenMs = 0; // of the last send
  std::int64_t queuedTokens = 0;
  std::int64_t sharedTokens = 0; // tokens of its prompt that others share
  bool sharedPrefilled = false;  // the engine had to prefill them
};

/** An attempt that failed, or that was not the first of its request. */
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

/** A change of a back end, as a daemon observed it. */
struct EngineChange
{
  std::string backend;
  std::string service;
  std::string zone;
  EngineStage stage = EngineStage::eListed;
  TimePoint at;
};

/** An order for a number of engines. */
struct LoggedScaleOrder
{
  std::string zone;
  std::int64_t desired = 0;
  bool reclaimable = false;
  bool accepted = false;
  TimePoint at;
};

/** The start of a daemon process, with its failure domain. */
struct DaemonStart
{
  std::string daemon;
  std::string zone;
  TimePoint at;
};

/** A line that cannot be read. */
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

/** Adds a file's events. Lines that cannot be read are recorded with file and
 * line number; the other lines are still used.
 * Thread safety: none; aEvents belongs to the caller. */
void
ReadLogEvents(const std::string& aFile,
              std::istream& aInput,
              LogEvents& aEvents);

} // namespace toucanshed
