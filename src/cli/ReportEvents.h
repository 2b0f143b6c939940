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
struct RequestEnd
{
  std::string request;
  std::string daemon;
  std::string route;
  std::string team;
  std::string backend; // the last one it was sent to
  std::string why;
  std::string part;    // the longest that its prompt shares with others
  TimePoint at;        // of its arrival
  TimePoint endedAt;   // of the event
  unsigned status = 0; // 0: its caller left
  unsigned sends = 0;
  std::int64_t firstMs = 0;
  std::int64_t targetMs = 0;    // 0: not known
  std::int64_t gapMs = 0;       // longest pause between two pieces
  std::int64_t gapTargetMs = 0; // 0: none
  std::int64_t expectedMs = 0;  // of the last send
  std::int64_t aheadTokens = 0;
  std::int64_t sharedTokens = 0; // of its prompt
  bool sharedRead = false;       // they were to be read by the engine
};

/** A send that was not simply answered. */
struct SendEnd
{
  std::string request;
  std::string backend;
  std::string outcome;
  std::string why;
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
  std::string domain;
  EngineStage stage = EngineStage::eListed;
  TimePoint at;
};

/** Engines that were ordered. */
struct EngineOrdered
{
  std::string domain;
  std::int64_t desired = 0;
  bool reclaimable = false;
  bool accepted = false;
  TimePoint at;
};

/** A process that started, and in which failure domain. */
struct DaemonStart
{
  std::string daemon;
  std::string domain;
  TimePoint at;
};

/** A line that cannot be used. */
struct BadLine
{
  std::string file;
  std::size_t line = 0; // from 1; 0: the file as a whole
  std::string reason;
};

struct ReportEvents
{
  std::vector<RequestEnd> requests;
  std::vector<SendEnd> sends;
  std::vector<EngineChange> engines;
  std::vector<EngineOrdered> orders;
  std::vector<DaemonStart> starts;
  std::vector<BadLine> bad;
  std::size_t lines = 0;
};

/** Adds a file's events. Lines that cannot be read are noted by file and
 * number, and the rest still counts.
 * Thread safety: none; aEvents belongs to the caller. */
void
ReadReportEvents(const std::string& aFile,
                 std::istream& aInput,
                 ReportEvents& aEvents);

} // namespace toucanshed
