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
struct EngineStep
{
  enum class Kind
  {
    eWhole,         // with everything it asked for
    eTurnAway,      // 503, and that it was not run
    eFail,          // 500 of its own, signed
    eCutAfter,      // the connection ends after some events
    eOtherAttempt,  // the answer of another request
    eOtherInstance, // 421: another engine has the address
    eSilent,        // no answer, until the caller hangs up
  };

  Kind kind = Kind::eWhole;
  std::uint64_t events = 0; // before a cut
  bool halfEvent = false;   // and half of the next one
};

/** One request as it arrived. */
struct EngineArrival
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
  std::deque<EngineStep> steps;
  std::vector<EngineArrival> arrivals;
  std::size_t hungUp = 0; // callers that left while it was at work
  bool streams = false;
  std::string limit;        // named in each answer; empty: none
  std::uint64_t events = 5; // of each stream; ids run from 0

private:
  Task<void> Stream(const HttpRequest& aRequest,
                    EngineStep aStep,
                    HttpResponder& aResponder);
  HttpReply Head(const HttpRequest& aRequest, unsigned aStatus) const;

  std::string id;
};

} // namespace toucanshed::standin
