/** \file
 * A stand-in for an engine or plain service of the platform. A test scripts its
 * next responses.
 */
#pragma once

#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"
#include "edge/Worker.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace toucanshed::standin {

/** How the engine responds to one request. */
struct ScriptedResponse
{
  enum class Kind
  {
    eComplete,        // the complete response
    eReject,          // 503 with Not-Executed: the request was not run
    eServerError,     // 500, signed by the engine
    eDisconnectAfter, // the connection ends after some events
    eWrongAttempt,    // the response has another attempt ID
    eMisdirected,     // 421: another engine uses the address
    eHang,            // no response until the caller disconnects
  };

  Kind kind = Kind::eComplete;
  std::uint64_t eventsBeforeDisconnect = 0; // for eDisconnectAfter
  bool sendsPartialEvent = false;           // and half of the next event
};

/** A request as the engine received it. */
struct ReceivedRequest
{
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;

  /** Returns the value of a header field; empty if it is missing. */
  [[nodiscard]] std::string Field(std::string_view aName) const;
};

/** Thread safety: none; belongs to the worker that serves it. */
class PlatformEngine
{
public:
  explicit PlatformEngine(std::string aId)
    : id(std::move(aId))
  {
  }

  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

  /** Used from first to last. Once it is empty, each response is complete. */
  std::deque<ScriptedResponse> scriptedResponses;
  std::vector<ReceivedRequest> receivedRequests;
  std::size_t callerDisconnects = 0; // disconnects before the response
  bool streams = false;
  std::string rateLimit; // reported in each response; empty: none
  std::string brittle;   // rejections a second, in each response; empty: none
  bool leaving = false;  // reported in each response
  std::string rest;      // seconds, in each rejection; empty: none
  std::uint64_t eventsPerStream = 5; // the event IDs start at 0
  std::chrono::milliseconds eventInterval{ 0 };
  /** The engine crashes when it begins to write the response to a prompt that
   * has this section, unless it is the last one; empty: none. */
  std::string crashingSection;
  std::uint64_t eventsBeforeCrash = 0; // that it writes before it crashes
  std::function<void()> onCrash = [] {};
  /** Ends all responses in progress where they are, as a crash does. */
  void Crash();

private:
  [[nodiscard]] bool Crashes(const HttpRequest& aRequest) const;
  Task<void> Stream(const HttpRequest& aRequest,
                    ScriptedResponse aStep,
                    HttpResponder& aResponder);
  HttpResponse MakeResponseHead(const HttpRequest& aRequest,
                                unsigned aStatus) const;

  std::string id;
  std::uint64_t crashes = 0;
};

} // namespace toucanshed::standin
