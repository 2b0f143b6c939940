/** \file
 * The model engines' protocol; the only code that knows it.
 */
#pragma once

#include "HttpExchange.h"
#include "base/Result.h"
#include "base/Types.h"
#include "coord/Engine.h"

#include <optional>
#include <string>

namespace toucanshed {

/** What an engine is asked to generate. */
struct GenerationRequest
{
  AttemptId attempt;
  std::string prompt;
  std::uint64_t maxTokens = 0;
  int priority = 0;             // higher goes first
  std::uint64_t resumeFrom = 0; // tokens that are already there
  std::string resumeText;       // and their text
};

/** One event of an engine's stream. */
struct EngineEvent
{
  bool done = false;
  std::string attempt;
  std::uint64_t offset = 0; // of the token; when done, the count of tokens
  std::string token;
};

/** How an attempt to use an engine failed. */
enum class EngineErrorKind
{
  eUnreachable,    // no connection: nothing was sent
  eRejected,       // it says that it did not run the request
  eErrorStatus,    // it answered with an error
  eTimedOut,       // no progress in the time allowed
  eDisconnected,   // the connection ended before the answer
  eMalformedEvent, // it said something that is no event
};

struct EngineError
{
  EngineErrorKind kind = EngineErrorKind::eUnreachable;
  std::string message;
};

/** An answer being read. Thread safety: belongs to its worker. */
class EngineStream
{
public:
  explicit EngineStream(HttpExchange aExchange);

  /** The next event; nothing when the stream has ended in good order. */
  Task<tl::expected<std::optional<EngineEvent>, EngineError>> Next();

private:
  std::optional<std::string> TakeLine();

  HttpExchange exchange;
  std::string buffer;
};

/** Starts generating. */
Task<tl::expected<EngineStream, EngineError>>
OpenEngineStream(Worker& aWorker,
                 std::string aAddress,
                 GenerationRequest aCall,
                 CallTimeouts aTimeouts);

/** Tells an engine that nobody waits for an attempt any more; on a connection
 * of its own, as the attempt's may be lost. */
Task<void>
CancelEngineAttempt(Worker& aWorker, std::string aAddress, AttemptId aAttempt);

/** Takes an attempt's cached state from one engine to another, and ends the
 * attempt at the first.
 * \return whether the second holds it now; if not, it computes the prompt and
 *   the tokens so far again. */
Task<bool>
TransferKvCache(Worker& aWorker,
                std::string aFrom,
                std::string aTo,
                AttemptId aAttempt,
                std::uint64_t aTokens);

/** Fills in what the back end at aKnown.address says of itself. A plain
 * service says little; what it leaves out stays as given. */
Task<Result<EngineReport>>
FetchEngineReport(Worker& aWorker,
                  EngineReport aKnown,
                  std::chrono::milliseconds aTimeout);

} // namespace toucanshed
