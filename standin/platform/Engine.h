/** \file
 * A small stand-in for an engine or plain service of the platform, whose next
 * answers a test sets.
 */
#pragma once

#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"
#include "edge/Worker.h"

#include <deque>
#include <string>
#include <vector>

namespace toucanshed::standin {

/** How one request is answered. */
struct ScriptedResponse
{
  enum class Kind
  {
    eComplete,        // with everything it asked for
    eReject,          // 503, and that it was not run
    eServerError,     // 500 of its own, signed
    eDisconnectAfter, // the connection ends after some events
    eWrongAttempt,    // the answer of another request
    eMisdirected,     // 421: another engine has the address
    eHang,            // no answer, until the caller hangs up
  };

  Kind kind = Kind::eComplete;
  std::uint64_t eventsBeforeDisconnect = 0; // before a cut
  bool sendsPartialEvent = false;           // and half of the next one
};

/** One request as it arrived. */
struct ReceivedRequest
{
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;

  /** Empty when it is missing. */
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

  /** Used up first to last; then everything is answered whole. */
  std::deque<ScriptedResponse> scriptedResponses;
  std::vector<ReceivedRequest> receivedRequests;
  std::size_t callerDisconnects = 0; // callers that left while it was at work
  bool streams = false;
  std::string rateLimit;             // named in each answer; empty: none
  std::uint64_t eventsPerStream = 5; // of each stream; ids run from 0

private:
  Task<void> Stream(const HttpRequest& aRequest,
                    ScriptedResponse aStep,
                    HttpResponder& aResponder);
  HttpResponse MakeResponseHead(const HttpRequest& aRequest,
                                unsigned aStatus) const;

  std::string id;
};

} // namespace toucanshed::standin
