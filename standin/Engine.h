/** \file
 * Stand-in for a model engine: batches, caches prefixes, follows priorities,
 * resumes and cancels streams, exports and imports cached state.
 */
#pragma once

#include "FaultSwitches.h"
#include "PrefixCache.h"
#include "edge/HttpServer.h"
#include "edge/Worker.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace toucanshed::standin {

struct EngineOptions
{
  std::string id;
  std::string service;
  std::string version;
  std::string zone;
  std::uint64_t slots = 8;                  // sequences in one batch
  std::uint64_t decodeStepMs = 4;           // milliseconds between tokens
  std::uint64_t prefillTokensPerMs = 20;    // prompt words prefilled per ms
  std::uint64_t cacheBlocks = 512;          // blocks of prefix cache
  std::uint64_t loadReportIntervalMs = 200; // age of the load it reports
  std::uint64_t seed = 1;
  std::string initialFault; // a fault switch that is on from the start
};

/** Thread safety: none; runs on one worker. */
class Engine
{
public:
  Engine(Worker& aWorker, EngineOptions aOptions);

  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

private:
  struct WaitingRequest
  {
    std::int64_t priority = 0;
    std::shared_ptr<boost::asio::steady_timer> wakeTimer;
  };
  struct Job
  {
    std::string attempt;
    std::string prompt;
    std::uint64_t maxTokens = 0;
    std::int64_t priority = 0;
    std::uint64_t resumeFrom = 0;
    std::uint64_t silentCountAtArrival = 0;
  };
  struct TokenTotals
  {
    std::uint64_t recomputedTokens = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t generatedTokens = 0;
  };

  Task<void> Generate(const HttpRequest& aRequest, HttpResponder& aResponder);
  Task<void> StreamResponse(Job aJob, HttpResponder& aResponder);
  Task<bool> StreamTokens(const Job& aJob, HttpResponder& aResponder);
  Task<void> AcquireSlot(std::int64_t aPriority);
  void ReleaseSlot();
  Task<void> Prefill(const Job& aJob);
  Task<void> WaitWhileSilent(const Job& aJob);
  [[nodiscard]] bool IsDegraded() const;
  [[nodiscard]] std::uint64_t CurrentStepMs() const;
  boost::json::object CurrentLoad() const;
  Task<void> PublishLoad();
  HttpResponse ApplyOrder(const HttpRequest& aRequest);
  HttpResponse CacheEvents(std::string_view aTarget);
  HttpResponse Export(const HttpRequest& aRequest);
  HttpResponse Import(const HttpRequest& aRequest);

  Worker& worker;
  EngineOptions options;
  FaultSwitches faults;
  PrefixCache cache;
  std::string incarnation;
  std::uint64_t running = 0;
  std::deque<WaitingRequest> waiting;
  std::map<std::string, std::string> activePrompts;    // prompts by attempt
  std::map<std::string, std::uint64_t> importedTokens; // counts by prompt
  std::set<std::string> cancelled;
  std::string publishedLoad;
  std::uint64_t highestFence = 0;
  std::chrono::steady_clock::time_point started;
  TokenTotals totals;
};

} // namespace toucanshed::standin
