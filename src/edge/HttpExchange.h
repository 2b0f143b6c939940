/** \file
 * One HTTP request to another process and its response, read as it arrives.
 */
#pragma once

#include "HttpConnectionPool.h"
#include "MessageFields.h"
#include "Task.h"

#include <chrono>
#include <functional>
#include <optional>

namespace toucanshed {

struct Worker;

/** The phase in which a call failed. No byte reaches the peer before eSend, so
 * only a failure in eConnect proves that the request did not run. */
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
  /** Whether it failed on a connection that had served another call before. */
  bool reused = false;
  /** Whether this process could open no connection; the peer is not at fault.
   */
  bool noDescriptor = false;
};

template<typename T>
using CallResult = tl::expected<T, CallError>;

/** Why a call is aborted. */
enum class AbortReason
{
  eCallerLeft,
  eProcessEnds, // its caller still waits
};

/**
 * Aborts a call from outside the coroutine that waits for it, for example when
 * the caller has disconnected. Closing the connection tells the engine at once
 * that nobody waits for its response.
 *
 * Thread safety: none; belongs to the worker of the call.
 */
class AbortHandle
{
public:
  /** Closes the call's connection, now or as soon as there is one. The first
   * reason holds. */
  void Abort(AbortReason aReason = AbortReason::eCallerLeft);
  [[nodiscard]] bool Aborted() const { return this->reason.has_value(); }
  [[nodiscard]] std::optional<AbortReason> Reason() const
  {
    return this->reason;
  }

private:
  friend class HttpExchange;

  std::optional<AbortReason> reason;
  HttpConnection* activeConnection = nullptr;
};

/** Called right before the first byte of a request is sent. If it returns
 * false, the call fails and nothing is sent. */
using PreSendCheck = std::function<bool()>;

/** Maximum time without progress in each phase. */
struct CallTimeouts
{
  std::chrono::milliseconds connect{ 500 };
  std::chrono::milliseconds head{ 5000 };
  std::chrono::milliseconds bodyIdle{ 5000 };
  /** Whether the kernel probes a silent peer and ends the call when it does not
   * acknowledge: the machine, the path or the connection is lost, and what the
   * peer still says can't arrive. */
  bool probesPeer = false;
};

/**
 * A call in progress. A connection whose response was not read completely is
 * closed and never reused: the rest of that response would be parsed as the
 * start of the next one.
 *
 * \code
 * auto call = co_await HttpExchange::Open(worker, endpoint, request, {});
 * while (auto chunk = co_await call->ReadChunk()) { ... }
 * \endcode
 *
 * Thread safety: none; belongs to the worker it was opened on.
 */
class HttpExchange
{
public:
  /** Sends the request and reads the head of the response.
   *  \param aSharedBody the request's body if aRequest has none of its own; it
   *    is sent without a copy and must outlive the call
   *  \param aNewConnection open a new connection even if there is an idle one.
   *    For calls that must not be repeated, whose failure must be unambiguous.
   */
  static Task<CallResult<HttpExchange>> Open(
    Worker& aWorker,
    const Endpoint& aEndpoint,
    HttpRequest aRequest,
    CallTimeouts aTimeouts,
    bool aNewConnection = false,
    std::shared_ptr<AbortHandle> aAbortHandle = nullptr,
    PreSendCheck aPreSendCheck = nullptr,
    std::string_view aSharedBody = {});
  HttpExchange(HttpExchange&&) noexcept = default;
  HttpExchange& operator=(HttpExchange&&) noexcept = default;
  ~HttpExchange();

  /** Sets when the response must be complete, from now. However many bytes
   * arrive, ReadChunk fails with a timeout after that. */
  void SetTimeLeft(std::chrono::milliseconds aTime)
  {
    this->deadline = std::chrono::steady_clock::now() + aTime;
  }
  /** Closes the connection and discards the rest of the response. */
  void CloseConnection();

  [[nodiscard]] unsigned Status() const;
  [[nodiscard]] const http::fields& Headers() const;

  /** The length of the body, if the response states it. */
  [[nodiscard]] std::optional<std::uint64_t> ContentLength() const;

  /** Whether the body has neither a length nor chunks: it ends with its
   * connection, and one that was cut off may look complete. */
  [[nodiscard]] bool EndsWithConnection() const
  {
    return this->parser->need_eof();
  }

  /** Returns the next chunk of the body; nothing if the body is complete. */
  Task<CallResult<std::optional<std::string>>> ReadChunk();

private:
  using Parser = MessageParser<false>;

  HttpExchange() = default;
  /** Sets the abort handle's connection to the current one, or to none. */
  void UpdateAbortHandle();
  /** Sets how the kernel finds out that this call's peer is gone. */
  void SetLivenessChecks(std::size_t aRequestBytes);
  [[nodiscard]] bool Aborted() const
  {
    return this->abortHandle != nullptr && this->abortHandle->Aborted();
  }

  Task<std::optional<CallError>> Connect();
  Task<std::optional<CallError>> SendAndReadHead(const HttpRequest& aRequest,
                                                 std::string_view aBody);
  /** Reads the head of the final response; interim ones are skipped. */
  Task<std::optional<CallError>> ReadHead();
  /** When the next read fails for lack of progress or of time. */
  [[nodiscard]] std::chrono::steady_clock::time_point ReadExpiry() const;
  CallError FailCall(CallPhase aPhase, const boost::system::error_code& aError);

  Worker* worker = nullptr;
  CallTimeouts timeouts;
  std::optional<std::chrono::steady_clock::time_point> deadline;
  std::shared_ptr<AbortHandle> abortHandle;
  std::unique_ptr<HttpConnection> connection;
  std::unique_ptr<Parser> parser;
  std::uint32_t headLimit = 0; // of the response
};

/** Sends a request and reads the whole response, which must be complete within
 * kMaxBodyTimeouts times the body's idle timeout and fit ResponseBuffer. If the
 * call fails on a reused
 * connection before the body of the response, it is repeated once on a new
 * connection. Pass aNewConnection for calls that must not be repeated. */
Task<CallResult<HttpResponse>>
Fetch(Worker& aWorker,
      Endpoint aEndpoint,
      HttpRequest aRequest,
      CallTimeouts aTimeouts,
      bool aNewConnection = false,
      PreSendCheck aPreSendCheck = nullptr);

} // namespace toucanshed
