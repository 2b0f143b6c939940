/** \file
 * The state of one daemon with stand-in back ends and an in-memory log, all on
 * one worker in the test's thread.
 */
#pragma once

#include "daemon/DaemonState.h"
#include "daemon/ModelRequest.h"
#include "edge/HttpServer.h"
#include "standin/Engine.h"
#include "standin/PlainService.h"

#include <memory>
#include <string>
#include <vector>

namespace toucanshed::test {

/** An in-memory log with switches for faults. */
struct MemoryLog
{
  bool outage = false;
  bool dropAppendResponses = false;
  std::map<std::string, std::vector<std::string>> streams;

  [[nodiscard]] LogClient MakeClient();
};

/** A chat request for the harness's model service, arriving now. */
ModelRequest
MakeModelRequest(DaemonState& aState,
                 const std::string& aPrompt,
                 std::uint64_t aTokens);

class DaemonHarness
{
public:
  /** \param aPort the first of the ports that the harness may use. */
  explicit DaemonHarness(std::uint16_t aPort);

  /** Starts a model engine of version v1 and adds it to the router. */
  void AddEngine(const std::string& aId, const std::string& aFault = {});
  /** Starts a back end of the plain service "jobdesk" and adds it to the
   * router. */
  void AddService(const std::string& aId);
  /** Sets a back end's fault switch over HTTP. */
  Task<void> SetFault(std::size_t aBackend,
                      std::string aName,
                      std::int64_t aValue);
  /** Number of executions of a key over all plain services. */
  Task<std::uint64_t> Executions(std::string aKey);
  /** Runs the test's coroutine until it ends. */
  void Run(Task<void> aTask);

  DaemonState state;
  MemoryLog log;

  Worker& FirstWorker() { return this->state.pool.First(); }

private:
  struct Backend
  {
    Endpoint endpoint;
    std::unique_ptr<standin::Engine> engine;
    std::unique_ptr<standin::PlainService> service;
    std::unique_ptr<HttpServer> server;
  };

  Endpoint NextEndpoint();
  void StartServer(Backend& aBackend, HttpHandler aHandler);
  void AddToRouter(const Backend& aBackend,
                   const std::string& aId,
                   const std::string& aIncarnation,
                   const std::string& aService);

  std::uint16_t port;
  std::vector<Backend> backends;
};

} // namespace toucanshed::test
