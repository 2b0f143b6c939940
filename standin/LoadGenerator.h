/** \file
 * Sends a limited, seeded mix of requests through the balancer as ordinary
 * clients do, and checks every response.
 */
#pragma once

#include "LoadReport.h"
#include "base/Random.h"
#include "edge/Endpoint.h"
#include "edge/HttpExchange.h"
#include "edge/Worker.h"

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

namespace toucanshed::standin {

struct LoadOptions
{
  Endpoint target;
  std::vector<Endpoint> serviceEndpoints; // asked for counts at the end
  std::uint64_t seconds = 10;
  double ratePerSecond = 40;
  std::uint64_t seed = 1;
  std::uint64_t maxTokens = 48;     // of a response of a model
  std::uint64_t poisonRequests = 0; // they crash engines; each sent 3 times
  std::string model = "survey";
  std::string service = "jobdesk";
};

/** Thread safety: none; runs on one worker. */
class LoadGenerator
{
public:
  LoadGenerator(Worker& aWorker, LoadOptions aOptions);

  /** Sends all requests, waits for the outstanding ones, and checks the
   * execution counts of the services. */
  Task<void> Run();

  [[nodiscard]] const LoadReport& Report() const { return this->report; }

private:
  /** The result of sending one request once. */
  enum class Outcome
  {
    eCompleted,
    eNotRun,
    eMayHaveRun,
    eInterrupted, // no response, or an interrupted one
  };
  struct Chat
  {
    std::string team;
    std::string prompt;
    std::uint64_t maxTokens = 0;
    std::string body;
    std::uint64_t received = 0;
    std::string lastEventId;
    bool streamError = false; // the stream reported that it cannot be completed
  };
  struct Booking
  {
    bool anyCompleted = false;
    bool allNotRun = true;
  };

  /** Sends one request to the balancer and reads the complete response. */
  Task<CallResult<HttpResponse>> SendRequest(HttpRequest aRequest);
  Task<void> RunRequest(std::uint64_t aNumber);
  Task<void> RunChat(Chat aChat, bool aStream);
  Task<Outcome> TryStreamed(Chat& aChat);
  Task<Outcome> TryBuffered(Chat& aChat);
  bool ConsumeEvents(Chat& aChat, std::string& aBuffer, bool& aDone);
  Task<void> RunAsyncChat(Chat aChat);
  Task<bool> PollAsyncChat(const Chat& aChat, std::string aLocation);
  Task<void> RunLookup(std::uint64_t aNumber);
  Task<void> RunBooking(std::uint64_t aNumber);
  Task<Outcome> CallService(std::string aTarget, std::string aKey);
  Task<void> RunPoisonRequest(std::uint64_t aNumber);
  Task<void> CheckExecutions();
  void CountOutcome(Outcome aOutcome);
  Outcome OutcomeOf(unsigned aStatus, const http::fields& aHeaders);
  Task<void> WaitRetryAfter(const http::fields& aHeaders);
  HttpRequest ChatRequest(const Chat& aChat) const;
  Chat MakeChat(std::uint64_t aNumber, bool aStream);

  Worker& worker;
  LoadOptions options;
  Random random;
  LoadReport report;
  std::map<std::string, Booking> bookings;
  std::uint64_t outstanding = 0;
};

} // namespace toucanshed::standin
