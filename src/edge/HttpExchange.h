/** \file
 * One HTTP request to another process and its answer, read as it arrives.
 */
#pragma once

#include "HttpConnectionPool.h"
#include "HttpTypes.h"
#include "Task.h"

#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>

namespace toucanshed {

struct Worker;

/** How far a call had come when it failed. Until eSend no byte has reached the
 * other side, so only a failure in eConnect proves that nothing ran. */
enum class CallPhase
{
  eConnect,
  eSend,
  eHead,
  eBody,
};

struct CallError
{
  CallPhase phase = CallPhase::eConnect;
  ErrorCode code = ErrorCode::eUnavailable;
  std::string message;
  /** It failed on a connection that had carried another call before. */
  bool reused = false;
};

template<typename T>
using CallResult = tl::expected<T, CallError>;

/**
 * Ends a call from outside the coroutine that waits on it, for instance when
 * the caller it is made for has hung up. An engine that nobody waits for should
 * notice at once, and it does when its connection closes.
 *
 * Thread safety: none; belongs to the worker of the call.
 */
class AbortHandle
{
public:
  /** Closes the call's connection, now or as soon as it has one. */
  void Abort();
  [[nodiscard]] bool Aborted() const { return this->aborted; }

private:
  friend class HttpExchange;

  bool aborted = false;
  HttpConnection* activeConnection = nullptr;
};

/** Asked right before a request's first byte is sent; false ends the call with
 * nothing sent. */
using PreSendCheck = std::function<bool()>;

/** How long each phase may go without progress. */
struct CallTimeouts
{
  std::chrono::milliseconds connect{ 500 };
  std::chrono::milliseconds head{ 5000 };
  std::chrono::milliseconds bodyIdle{ 5000 };
};

/**
 * A call in progress. A connection whose answer was not read to its end is
 * closed, never reused: the rest of that answer would be taken for the start
 * of the next one.
 *
 * \code
 * auto call = co_await HttpExchange::Open(worker, endpoint, request, {});
 * while (auto piece = co_await call->ReadPiece()) { ... }
 * \endcode
 *
 * Thread safety: none; belongs to the worker it was opened on.
 */
class HttpExchange
{
public:
  /** Sends the request and reads the answer's head.
   *  \param aFresh open a new connection even when an idle one is at hand; for
   *    calls that may not be repeated, whose failure must be unambiguous. */
  static Task<CallResult<HttpExchange>> Open(
    Worker& aWorker,
    const Endpoint& aEndpoint,
    HttpRequest aRequest,
    CallTimeouts aTimeouts,
    bool aFresh = false,
    std::shared_ptr<AbortHandle> aAbort = nullptr,
    PreSendCheck aMaySend = nullptr);
  HttpExchange(HttpExchange&&) noexcept = default;
  HttpExchange& operator=(HttpExchange&&) noexcept = default;
  ~HttpExchange();

  /** Time without progress that is allowed from here on. */
  void SetBodyIdleTimeout(std::chrono::milliseconds aGap)
  {
    this->timeouts.bodyIdle = aGap;
  }
  /** Closes the connection; the rest of the answer is not wanted. */
  void CloseConnection();

  [[nodiscard]] unsigned Status() const;
  [[nodiscard]] const http::fields& Headers() const;

  /** The next piece of the body; nothing when the body is complete. */
  Task<CallResult<std::optional<std::string>>> ReadChunk();

private:
  using Parser = http::response_parser<http::string_body>;

  HttpExchange() = default;
  /** Points the abort handle at the connection, or at none. */
  void UpdateAbortHandle();
  [[nodiscard]] bool Aborted() const
  {
    return this->abortHandle != nullptr && this->abortHandle->Aborted();
  }

  Task<std::optional<CallError>> Connect();
  Task<std::optional<CallError>> SendAndReadHead(HttpRequest& aRequest);
  CallError FailCall(CallPhase aPhase, const boost::system::error_code& aError);

  Worker* worker = nullptr;
  CallTimeouts timeouts;
  std::shared_ptr<AbortHandle> abortHandle;
  std::unique_ptr<HttpConnection> connection;
  std::unique_ptr<Parser> parser;
};

/** Sends a request and reads the whole answer. A call that fails on a reused
 * connection before any answer is sent once more on a new one; pass aFresh for
 * calls that may not be repeated. */
Task<CallResult<HttpResponse>>
Fetch(Worker& aWorker,
      Endpoint aEndpoint,
      HttpRequest aRequest,
      CallTimeouts aTimeouts,
      bool aFresh = false,
      PreSendCheck aMaySend = nullptr);

} // namespace toucanshed
