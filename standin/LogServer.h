/** \file
 * Stand-in for the platform's append-only log: streams of records with
 * offsets, a limited append rate, a limited retention, and outages.
 */
#pragma once

#include "FaultSwitches.h"
#include "base/Types.h"
#include "edge/HttpServer.h"
#include "edge/Worker.h"
#include "records.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>

namespace toucanshed::standin {

struct LogOptions
{
  std::uint64_t appendsPerSecond = 500;
  std::uint64_t maxRecordsPerStream = 1000000;
  std::uint64_t seed = 1;
};

/** Thread safety: none; runs on one worker. */
class LogServer
{
public:
  LogServer(Worker& aWorker, LogOptions aOptions)
    : worker(aWorker)
    , options(aOptions)
    , faults(aOptions.seed)
  {
  }

  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

private:
  using ReaderTimer = std::shared_ptr<boost::asio::steady_timer>;
  struct Stream
  {
    std::deque<std::string> payloads;
    std::uint64_t earliest = 1;
    std::list<ReaderTimer> waitingReaders;

    [[nodiscard]] std::uint64_t NextOffset() const
    {
      return this->earliest + this->payloads.size();
    }
  };

  Task<void> Append(const HttpRequest& aRequest, HttpResponder& aResponder);
  Task<void> Read(const HttpRequest& aRequest, HttpResponder& aResponder);
  Task<void> AppendAfterDelay(std::string aName,
                              std::string aPayload,
                              Millis aDelay);
  std::uint64_t AppendRecord(Stream& aStream, std::string aPayload);
  bool ExceedsRate();

  Worker& worker;
  LogOptions options;
  FaultSwitches faults;
  std::map<std::string, Stream> streams;
  std::int64_t currentSecond = 0;
  std::uint64_t appendsThisSecond = 0;
  std::uint64_t appends = 0;
};

} // namespace toucanshed::standin
