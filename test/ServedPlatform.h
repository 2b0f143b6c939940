/** \file
 * A daemon in a process of its own that serves on the platform, beside
 * stand-ins of the store, the cloud and one engine in the test's process.
 */
#pragma once

#include "DaemonProcess.h"

#include "base/Types.h"
#include "edge/HttpServer.h"
#include "edge/WorkerPool.h"
#include "standin/platform/Cloud.h"
#include "standin/platform/Store.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace toucanshed::test {

/** What a test lowers or raises. */
struct PlatformLimits
{
  std::size_t memoryMb = 160; // of the daemon's machine
  std::size_t maxDescriptors = 4100;
  std::size_t maxBodyBytes = std::size_t{ 4 } << 20U;
  std::size_t maxHeaderBytes = std::size_t{ 16 } << 10U;
  Millis headerTimeout{ 120000 }; // so that clients that wait stay
  Millis idleTimeout{ 120000 };
  Millis routeTimeout{ 5000 };
  std::size_t engines = 1;     // listed, all at one address
  int slots = 6;               // of each
  Millis latencyTarget{ 200 }; // of the routes
  /** Whether the service's requests wait in a queue while its engines are full.
   */
  bool hasQueue = false;
  std::size_t responseBytes = 64; // of the engine's responses
  std::size_t eventsPerStream = 5;
  Millis eventInterval{ 0 };
  std::size_t eventBytes = 64;
  /** Entries of the list that another writer has left, as key and value. */
  std::vector<std::pair<std::string, std::string>> otherEntries = {};
};

/** A version of the configuration. */
struct PlatformVersion
{
  int number = 1;
  std::string key = "key-one"; // the only one
  std::string removedRoute;
};

/** Thread safety: none; belongs to the test's thread. */
class ServedPlatform
{
public:
  /** Starts the stand-ins and the daemon, and waits until it is ready. */
  explicit ServedPlatform(PlatformLimits aLimits);
  ~ServedPlatform();
  ServedPlatform(const ServedPlatform&) = delete;
  ServedPlatform& operator=(const ServedPlatform&) = delete;

  /** The head of an ordinary caller's request, without the empty line that ends
   * it: path /look/ is idempotent, /book/ is not, /chat/ streams, and streams
   * of /keep/ can be resumed. The engine never responds to /book/hang. It is
   * silent before the response to a path that ends in before-MS, and within
   * that to within-MS, for that many milliseconds. */
  static std::string RequestHead(const std::string& aPath = "/look/1",
                                 const std::string& aMethod = "POST");
  /** An ordinary caller's request. */
  static std::string RequestWithBody(const std::string& aBody);
  /** Sends an ordinary request, and sends it again after the time that a
   * refusal asks for.
   * \param aBody its body, without a length when it is chunked
   * \return whether it got a 200 */
  [[nodiscard]] bool IsAnswered(const std::string& aBody = "{}") const;
  /** The same with the whole text of the request. */
  [[nodiscard]] bool IsRequestAnswered(const std::string& aRequest) const;

  /** Requests that the engine has received. */
  [[nodiscard]] std::size_t EngineRequests() const
  {
    return this->engineRequests;
  }

  /** Whether the engine has received a request with this id. */
  [[nodiscard]] bool HasEngineReceived(const std::string& aAttempt) const;
  /** Whether the engine has received a field with this value. */
  [[nodiscard]] bool HasEngineReceivedField(const std::string& aName,
                                            const std::string& aValue) const;
  /** Writes another version of the configuration to the store.
   * \param aLimits those that it states: of heads, bodies, times and routes */
  void Configure(const PlatformVersion& aVersion,
                 const PlatformLimits& aLimits);

  /** From now on the store's responses have no end. */
  void MakeStoreEndless() { this->store.endless = true; }

  const PlatformLimits limits;
  Endpoint callers;
  Endpoint readiness;
  Endpoint relays;
  Endpoint metrics;
  Endpoint engine;
  std::unique_ptr<DaemonProcess> daemon;

private:
  /** Waits until the daemon serves.
   * \return false if it ends, outgrows its machine, or does not serve in time
   */
  bool AwaitServing();
  void Stop();
  void StartServer(const Endpoint& aEndpoint, HttpHandler aHandler);
  Task<void> RenewEntries(Endpoint aEngine);
  Task<void> HandleEngine(const HttpRequest& aRequest,
                          HttpResponder& aResponder);
  /** Sends the response in events, or in pieces like them.
   * \param aSilence within it, after the fourth one */
  Task<void> SendEvents(HttpResponse aHead,
                        std::size_t aFirst,
                        Millis aSilence,
                        HttpResponder& aResponder);

  std::atomic<std::size_t> engineRequests{ 0 };
  mutable std::mutex attemptsMutex;
  std::set<std::string> engineAttempts; // guarded by attemptsMutex
  /** Long fields that the engine has received; guarded by attemptsMutex. */
  std::set<std::pair<std::string, std::string>> engineFields;
  WorkerPool pool{ 1 };
  standin::PlatformStore store;
  standin::PlatformCloud cloud;
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::thread thread;
};

/** Checks that the daemon lives, that its memory and its descriptors have
 * stayed within its machine's, and that an ordinary caller gets its answer. */
void
CheckSurvives(ServedPlatform& aPlatform);

} // namespace toucanshed::test
