/** \file
 * Client for the protocol of the model engines. No other code depends on this
 * protocol.
 */
#pragma once

#include "HttpExchange.h"
#include "base/Result.h"
#include "base/Types.h"
#include "coord/Engine.h"

#include <memory>
#include <optional>
#include <string>

namespace toucanshed {

/** A request to an engine to generate tokens. */
struct GenerationRequest
{
  AttemptId attempt;
  std::string prompt;
  std::uint64_t maxTokens = 0;
  int priority = 0;             // higher values are scheduled first
  std::uint64_t resumeFrom = 0; // number of tokens generated so far
  std::string resumeText;       // the text of these tokens
};

/** One event of an engine's stream. */
struct EngineEvent
{
  bool done = false;
  std::string attempt;
  std::uint64_t offset = 0; // of the token; if done, the number of tokens
  std::string token;
};

/** How a call to an engine failed. */
enum class EngineErrorKind
{
  eUnreachable,    // could not connect: nothing was sent
  eRejected,       // the engine reports that it did not run the request
  eErrorStatus,    // the response has an error status
  eTimedOut,       // no progress within the timeout
  eDisconnected,   // the connection ended before the response did
  eMalformedEvent, // the engine sent something other than an event
};

struct EngineError
{
  EngineErrorKind kind = EngineErrorKind::eUnreachable;
  std::string message;
};

/** The response to a generation request, read event by event. Thread safety:
 * belongs to its worker. */
class EngineStream
{
public:
  explicit EngineStream(HttpExchange aExchange);

  /** Returns the next event; nothing if the stream has ended properly. */
  Task<tl::expected<std::optional<EngineEvent>, EngineError>> Next();

private:
  /** Removes the first complete line from the buffer and returns it. */
  std::optional<std::string> TakeLine();

  HttpExchange exchange;
  std::string buffer;
};

/** Sends a generation request and opens the stream of its response.
 * \param aAbortHandle as for HttpExchange::Open
 * \param aPreSendCheck as for HttpExchange::Open; a refusal is reported as an
 *   unreachable engine, since nothing was sent */
Task<tl::expected<EngineStream, EngineError>>
OpenEngineStream(Worker& aWorker,
                 std::string aAddress,
                 GenerationRequest aGeneration,
                 CallTimeouts aTimeouts,
                 std::shared_ptr<AbortHandle> aAbortHandle = nullptr,
                 PreSendCheck aPreSendCheck = nullptr);

/** Cancels an attempt at an engine. Uses a new connection, as the attempt's own
 * connection may be lost. */
Task<void>
CancelEngineAttempt(Worker& aWorker, std::string aAddress, AttemptId aAttempt);

/** Transfers an attempt's KV cache from one engine to another, and cancels the
 * attempt at the first.
 * \param aImportCheck as for HttpExchange::Open, for the second engine, which
 *   may begin to leave while the first one exports
 * \return whether the second engine has imported it. If not, that engine
 *   recomputes the prompt and the tokens generated so far. */
Task<bool>
TransferKvCache(Worker& aWorker,
                std::string aFrom,
                std::string aTo,
                AttemptId aAttempt,
                std::uint64_t aTokens,
                PreSendCheck aImportCheck);

/** Fetches the load report of the back end at aBase.address. Returns aBase with
 * the reported fields replaced. A plain service reports few fields; those that
 * it omits keep their value. */
Task<Result<EngineReport>>
FetchEngineReport(Worker& aWorker,
                  EngineReport aBase,
                  std::chrono::milliseconds aTimeout);

} // namespace toucanshed
