/** \file
 * The components of one serving daemon with small fake servers of the platform,
 * all on one worker on the test's own thread.
 */
#pragma once

#include "edge/HttpExchange.h"
#include "edge/HttpServer.h"
#include "serve/ServingState.h"
#include "standin/platform/Cloud.h"
#include "standin/platform/Engine.h"
#include "standin/platform/NetworkPath.h"
#include "standin/platform/RawEngine.h"
#include "standin/platform/Store.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace toucanshed {
class PeerMessenger;
class ReachMonitor;
}

namespace toucanshed::test {

/** What a caller receives for one request. */
struct CallerResponse
{
  unsigned status = 0; // 0: no response
  std::string body;
  std::string seal;
  std::string retryAfter; // Retry-After
  bool complete = false;
};

/** A request as a caller sends it. */
struct CallerMessage
{
  std::string path = "/book/1";
  std::string attempt = "a1";
  std::string key = "key-one";
  std::string body = "{}";
  std::vector<std::pair<std::string, std::string>> fields;
};

class PlatformHarness
{
public:
  /** \param aPort first of the ports that the harness may use. */
  explicit PlatformHarness(std::uint16_t aPort);
  ~PlatformHarness();
  PlatformHarness(const PlatformHarness&) = delete;
  PlatformHarness& operator=(const PlatformHarness&) = delete;

  /** The configuration that the harness starts with, as operators write it:
   * /book/ is not idempotent and may run once, /look/ is idempotent, /chat/
   * streams once, /report/ is a resumable stream. Each may be run by two back
   * ends. */
  static std::string CatalogText(std::uint64_t aVersion,
                                 const std::string& aKey = "key-one");

  /** Adds an engine of a service, "plain" or "model". */
  standin::PlatformEngine& AddEngine(const std::string& aId,
                                     const std::string& aService,
                                     const std::string& aZone = "zone-1");
  /** Adds an engine whose responses are given as bytes. */
  standin::RawEngine& AddRawEngine(const std::string& aId,
                                   const std::string& aService);
  /** Precondition: AddRawEngine. */
  standin::RawEngine& FindRawEngine(const std::string& aId)
  {
    return *this->rawEngines.at(aId);
  }
  /** Puts a path that can be cut between the daemon and each engine that was
   * added; other daemons still connect to the engines directly. */
  void AddPaths();
  /** Sets the state of the daemon's paths to all engines. */
  void SetPaths(standin::PathState aState);
  void SetPath(const std::string& aEngine, standin::PathState aState)
  {
    this->paths.at(aEngine)->SetState(aState);
  }
  /** Requests that all engines have received. */
  [[nodiscard]] std::size_t ReceivedRequests() const;
  /** Arrivals at all engines beyond the first of each request. */
  [[nodiscard]] std::size_t RepeatedArrivals() const;
  /** Retries that both daemons have paid for since the last call. */
  std::size_t TakePaidRetries();
  /** Closes the daemon's idle connections to engines, as engines do. */
  void CloseIdleConnections();
  /** Makes the next request hang at each engine. */
  void HangNextRequests();
  /** Starts a second daemon, which exchanges heartbeats with the first and
   * knows the engines that were added. It uses the two ports after the
   * harness's ten. Precondition: called once. */
  ServingState& AddPeerDaemon();
  /** Makes the engine stop listening, as a crashed one does. */
  void StopEngine(const std::string& aId);
  /** The engines crash at prompts with the section, and each is back after the
   * time, as a later incarnation. */
  void CrashEnginesAt(const std::string& aSection, Millis aReturnDelay);
  /** Ends the engine's responses; it is back after the time. */
  void CrashEngine(const std::string& aId, Millis aReturnDelay);
  /** Incarnations of engines that have crashed. */
  [[nodiscard]] std::size_t CrashedEngines() const { return this->crashed; }
  /** An engine's entry, as the engine writes it to the store. */
  std::string EntryOf(const std::string& aId,
                      const std::string& aState = "ready") const;
  /** Where the daemon's callers connect to. */
  [[nodiscard]] Endpoint CallersEndpoint() const { return this->callers; }
  /** Sends one request to the daemon. */
  Task<CallerResponse> SendRequest(CallerMessage aMessage);
  /** Sends one request to the second daemon. Precondition: AddPeerDaemon. */
  Task<CallerResponse> SendRequestToPeer(CallerMessage aMessage);
  /** Sends requests one after the other.
   * \return the number of those that got a 200 */
  Task<std::size_t> SendRequests(std::size_t aCount);
  /** Runs the test's coroutine until it ends. */
  void Run(Task<void> aTask);

  standin::PlatformStore store;
  standin::PlatformCloud cloud;
  std::unique_ptr<ServingState> state;

private:
  Endpoint StartServer(HttpHandler aHandler);
  void StartEngineServer(const std::string& aId, const Endpoint& aEndpoint);
  Task<void> ReturnEngine(std::string aId, Millis aDelay);
  Task<CallerResponse> SendTo(Endpoint aDaemon, CallerMessage aMessage);
  /** An entry with another address than the engine's own. */
  std::string EntryAt(const std::string& aId,
                      const std::string& aState,
                      const Endpoint& aAddress) const;

  std::uint16_t port;
  Endpoint callers;
  Endpoint peerCallers;
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::map<std::string, std::unique_ptr<standin::PlatformEngine>> engines;
  std::map<std::string, std::unique_ptr<standin::RawEngine>> rawEngines;
  std::map<std::string, std::pair<std::string, Endpoint>> engineAddresses;
  std::map<std::string, std::string> engineZones;
  std::map<std::string, HttpServer*> engineServers;
  std::map<std::string, std::int64_t> engineIncarnations; // 1 if missing
  mutable std::uint64_t entryRenewals = 0;                // of all engines
  std::size_t crashed = 0;
  std::map<std::string, std::unique_ptr<standin::NetworkPath>> paths;
  std::unique_ptr<PeerMessenger> messenger;
  std::unique_ptr<ServingState> peerState;
  std::vector<std::unique_ptr<HttpServer>> peerServers; // use its worker
  std::unique_ptr<PeerMessenger> peerMessenger;
  std::unique_ptr<ReachMonitor> reach;
  std::unique_ptr<ReachMonitor> peerReach;
};

/** Makes the state of a second daemon, which shares the harness's store and
 * cloud. */
std::unique_ptr<ServingState>
MakeServingState(const std::string& aId,
                 const Endpoint& aStore,
                 const Endpoint& aCloud,
                 std::uint16_t aPeerPort);

/** Lets the daemon earn all the retries that it may carry, as requests of a
 * quiet time do. */
void
EarnRetries(ServingState& aState);

/** The distinct report bodies that the cloud accepted, by window. Thread
 * safety: belongs to the harness's worker. */
std::map<std::string, std::set<std::string>>
ReportsByWindow(const standin::PlatformCloud& aCloud);

} // namespace toucanshed::test
