#include "HttpExchange.h"

#include "Worker.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <netinet/tcp.h>

namespace toucanshed {

namespace net = boost::asio;

namespace {

/** A head that is larger by this than the request's own fails as a protocol
 * error: a response repeats fields of its request. */
constexpr std::uint32_t kMaxHeadBytes = 16U << 10U;
/** The same for a body, which callers may forward without holding it. */
constexpr std::uint64_t kMaxResponseBytes = 64ULL << 20U;
/** The same for more interim responses. */
constexpr int kMaxInterimResponses = 8;
/** Time for the body of a fetched response, in idle timeouts. */
constexpr int kMaxBodyTimeouts = 3;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kLastStatus = 599;

ErrorCode
ErrorCodeOf(const boost::system::error_code& aError)
{
  if (aError == boost::beast::error::timeout) {
    return ErrorCode::eTimeout;
  }
  if (aError.category() ==
      http::make_error_code(http::error::bad_version).category()) {
    const bool truncated = aError == http::error::end_of_stream ||
                           aError == http::error::partial_message;
    return truncated ? ErrorCode::eClosed : ErrorCode::eProtocol;
  }
  return ErrorCode::eClosed;
}

/** Limits how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). A
 * peer that lost power, or a path that lost the connection's state, sends
 * nothing, not even a reset. Without the limit the kernel retransmits for many
 * minutes. It would also end the call of a peer that is too busy to read, whose
 * receive buffer is full, so requests that may fill it have no limit. */
void
SetTcpUserTimeout(boost::asio::ip::tcp::socket& aSocket,
                  std::size_t aRequestBytes)
{
  constexpr int kUserTimeoutMs = 3000; // as long as callers wait for a response
  constexpr int kNoLimit = 0;
  constexpr std::size_t kSmallestReceiveBuffer = std::size_t{ 16 } << 10U;
  using UserTimeout =
    net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  const bool fits = aRequestBytes <= kSmallestReceiveBuffer;
  boost::system::error_code ignored;
  aSocket.set_option(UserTimeout(fits ? kUserTimeoutMs : kNoLimit), ignored);
}

/** Makes the kernel probe a connection on which nothing arrives, and close it
 * when it gets no acknowledgement for some seconds. */
void
SetKeepAliveProbes(boost::asio::ip::tcp::socket& aSocket, bool aProbes)
{
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kUnansweredProbes = 3;
  using Idle = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
    net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  boost::system::error_code ignored;
  aSocket.set_option(net::socket_base::keep_alive(aProbes), ignored);
  aSocket.set_option(Idle(kIdleSeconds), ignored);
  aSocket.set_option(Interval(kIntervalSeconds), ignored);
  aSocket.set_option(Count(kUnansweredProbes), ignored);
}

/** Makes the kernel drop what is unsent when the connection is closed. A
 * request that was given up while its path was silent would otherwise arrive
 * once the path is back, after it was sent again elsewhere. */
void
SetResetOnClose(boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(net::socket_base::linger(true, 0), ignored);
}

/** Time for which the peer keeps an idle connection, from its Keep-Alive field;
 * 0 if the field does not state it. */
std::chrono::seconds
ParseKeepAliveTimeout(const http::fields& aFields)
{
  constexpr std::string_view kParameter = "timeout=";
  const std::string_view text = aFields[http::field::keep_alive];
  const auto start = text.find(kParameter);
  if (start == std::string_view::npos) {
    return {};
  }
  const char* digits = text.data() + start + kParameter.size();
  int seconds = 0;
  std::from_chars(digits, text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds);
}

/** Whether a body has a transfer coding other than chunks. It is not decoded
 * here, and the field that names it is not passed on. */
bool
HasUnknownCoding(const http::fields& aFields)
{
  const std::string_view coding = aFields[http::field::transfer_encoding];
  const bool isKnown = coding.empty() ||
                       boost::beast::iequals(coding, "chunked") ||
                       boost::beast::iequals(coding, "identity");
  return !isKnown || aFields.count(http::field::transfer_encoding) > 1;
}

} // namespace

void
AbortHandle::Abort(AbortReason aReason)
{
  this->reason = this->reason.value_or(aReason);
  if (this->activeConnection != nullptr) {
    this->activeConnection->stream.close();
  }
}

HttpExchange::~HttpExchange()
{
  if (this->abortHandle != nullptr) {
    this->abortHandle->activeConnection = nullptr;
  }
}

void
HttpExchange::UpdateAbortHandle()
{
  if (this->abortHandle != nullptr) {
    this->abortHandle->activeConnection = this->connection.get();
  }
}

void
HttpExchange::SetLivenessChecks(std::size_t aRequestBytes)
{
  auto& socket = this->connection->stream.socket();
  SetTcpUserTimeout(socket, aRequestBytes);
  SetKeepAliveProbes(socket, this->timeouts.probesPeer);
}

void
HttpExchange::CloseConnection()
{
  this->connection.reset();
  this->UpdateAbortHandle();
}

CallError
HttpExchange::FailCall(CallPhase aPhase,
                       const boost::system::error_code& aError)
{
  CallError error;
  error.phase = aPhase;
  error.code = ErrorCodeOf(aError);
  error.message = aError.message();
  error.reused = this->connection->reused;
  this->CloseConnection();
  return error;
}

Task<std::optional<CallError>>
HttpExchange::Connect()
{
  boost::system::error_code error;
  auto& stream = this->connection->stream;
  stream.expires_after(this->timeouts.connect);
  co_await stream.async_connect(this->connection->endpoint,
                                net::redirect_error(net::use_awaitable, error));
  if (error) {
    co_return this->FailCall(CallPhase::eConnect, error);
  }
  boost::system::error_code ignored;
  stream.socket().set_option(net::ip::tcp::no_delay(true), ignored);
  SetResetOnClose(stream.socket());
  co_return std::nullopt;
}

Task<std::optional<CallError>>
HttpExchange::SendAndReadHead(const HttpRequest& aRequest,
                              std::string_view aBody)
{
  boost::system::error_code error;
  HttpConnection& current = *this->connection;
  current.stream.expires_after(this->timeouts.head);
  const std::string text = FormatHead(aRequest);
  this->headLimit = kMaxHeadBytes + static_cast<std::uint32_t>(text.size());
  current.buffer.max_size(
    std::max<std::size_t>(HttpConnection::kMaxBufferBytes, this->headLimit));
  const std::array<net::const_buffer, 2> buffers{ net::buffer(text),
                                                  net::buffer(aBody) };
  co_await net::async_write(
    current.stream, buffers, net::redirect_error(net::use_awaitable, error));
  if (error) {
    co_return this->FailCall(CallPhase::eSend, error);
  }
  co_return co_await this->ReadHead();
}

Task<std::optional<CallError>>
HttpExchange::ReadHead()
{
  HttpConnection& current = *this->connection;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    this->parser = std::make_unique<Parser>();
    this->parser->header_limit(this->headLimit);
    this->parser->body_limit(kMaxResponseBytes);
    boost::system::error_code error;
    co_await http::async_read_header(
      current.stream,
      current.buffer,
      *this->parser,
      net::redirect_error(net::use_awaitable, error));
    if (error) {
      co_return this->FailCall(CallPhase::eHead, error);
    }
    const unsigned status = this->Status();
    const bool isStatus =
      status >= kFirstInterimStatus && status <= kLastStatus;
    if (!isStatus || status == kSwitchingProtocols) {
      break; // no response, or one that was not requested
    }
    if (status >= kFirstFinalStatus && HasUnknownCoding(this->Headers())) {
      co_return this->FailCall(
        CallPhase::eHead,
        http::make_error_code(http::error::bad_transfer_encoding));
    }
    if (status >= kFirstFinalStatus) {
      co_return std::nullopt;
    }
  }
  co_return this->FailCall(CallPhase::eHead,
                           http::make_error_code(http::error::bad_status));
}

std::chrono::steady_clock::time_point
HttpExchange::ReadExpiry() const
{
  const auto idle = std::chrono::steady_clock::now() + this->timeouts.bodyIdle;
  return this->deadline ? std::min(idle, *this->deadline) : idle;
}

Task<CallResult<HttpExchange>>
HttpExchange::Open(Worker& aWorker,
                   const Endpoint& aEndpoint,
                   HttpRequest aRequest,
                   CallTimeouts aTimeouts,
                   bool aNewConnection,
                   std::shared_ptr<AbortHandle> aAbortHandle,
                   PreSendCheck aPreSendCheck,
                   std::string_view aSharedBody)
{
  HttpExchange exchange;
  exchange.worker = &aWorker;
  exchange.timeouts = aTimeouts;
  exchange.abortHandle = std::move(aAbortHandle);
  if (!aNewConnection) {
    exchange.connection = aWorker.connectionPool.Acquire(aEndpoint);
  }
  if (!exchange.connection) {
    exchange.connection = aWorker.connectionPool.Create(aEndpoint);
    if (!exchange.connection) {
      CallError noDescriptor;
      noDescriptor.message = "no descriptor is left for a connection";
      noDescriptor.noDescriptor = true;
      co_return tl::unexpected<CallError>(std::move(noDescriptor));
    }
    exchange.UpdateAbortHandle();
    const auto connectError = co_await exchange.Connect();
    if (connectError) {
      co_return tl::unexpected<CallError>(*connectError);
    }
  }
  exchange.UpdateAbortHandle();
  const bool maySend = !aPreSendCheck || aPreSendCheck();
  if (exchange.Aborted() || !maySend) {
    co_return tl::unexpected<CallError>(
      exchange.FailCall(CallPhase::eConnect, net::error::operation_aborted));
  }
  if (aRequest.find(http::field::host) == aRequest.end()) {
    aRequest.set(http::field::host, ToText(aEndpoint));
  }
  const std::string_view body =
    aRequest.body().empty() ? aSharedBody : std::string_view(aRequest.body());
  if (aRequest.chunked()) {
    aRequest.content_length(body.size()); // it is sent whole
  }
  exchange.SetLivenessChecks(body.size());
  const auto sendError = co_await exchange.SendAndReadHead(aRequest, body);
  if (sendError) {
    co_return tl::unexpected<CallError>(*sendError);
  }
  co_return exchange;
}

std::optional<std::uint64_t>
HttpExchange::ContentLength() const
{
  const auto length = this->parser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

unsigned
HttpExchange::Status() const
{
  return this->parser->get().result_int();
}

const http::fields&
HttpExchange::Headers() const
{
  return this->parser->get().base();
}

Task<CallResult<std::optional<std::string>>>
HttpExchange::ReadChunk()
{
  std::string& body = this->parser->get().body();
  while (body.empty() && !this->parser->is_done()) {
    // The stream's timer does not end reads whose bytes are there already.
    const auto now = std::chrono::steady_clock::now();
    if (this->deadline && now >= *this->deadline) {
      co_return tl::unexpected<CallError>(
        this->FailCall(CallPhase::eBody, boost::beast::error::timeout));
    }
    boost::system::error_code error;
    HttpConnection& current = *this->connection;
    current.stream.expires_at(this->ReadExpiry());
    co_await http::async_read_some(
      current.stream,
      current.buffer,
      *this->parser,
      net::redirect_error(net::use_awaitable, error));
    if (error) {
      co_return tl::unexpected<CallError>(
        this->FailCall(CallPhase::eBody, error));
    }
  }
  if (!body.empty()) {
    std::optional<std::string> chunk(std::move(body));
    body.clear();
    co_return chunk;
  }
  const bool reusable = this->parser->keep_alive() &&
                        this->connection != nullptr &&
                        this->connection->buffer.size() == 0;
  if (reusable && !this->Aborted()) {
    this->connection->stream.expires_never();
    this->connection->keepAliveTimeout = ParseKeepAliveTimeout(this->Headers());
    this->worker->connectionPool.Release(std::move(this->connection));
  }
  this->CloseConnection();
  co_return std::optional<std::string>{};
}

namespace {

Task<CallResult<HttpResponse>>
FetchOnce(Worker& aWorker,
          Endpoint aEndpoint,
          HttpRequest aRequest,
          CallTimeouts aTimeouts,
          bool aNewConnection,
          PreSendCheck aPreSendCheck)
{
  auto opened = co_await HttpExchange::Open(aWorker,
                                            aEndpoint,
                                            std::move(aRequest),
                                            aTimeouts,
                                            aNewConnection,
                                            nullptr,
                                            std::move(aPreSendCheck));
  if (!opened) {
    co_return tl::unexpected<CallError>(opened.error());
  }
  HttpResponse response;
  static_cast<http::fields&>(response.base()) = opened->Headers();
  response.result(opened->Status());
  opened->SetTimeLeft(kMaxBodyTimeouts * aTimeouts.bodyIdle);
  ResponseBuffer buffer(aWorker.responseBuffers);
  while (true) {
    auto chunk = co_await opened->ReadChunk();
    if (!chunk) {
      co_return tl::unexpected<CallError>(chunk.error());
    }
    if (!chunk->has_value()) {
      co_return response;
    }
    if (!buffer.Resize(response.body().size() + (*chunk)->size())) {
      co_return tl::unexpected<CallError>(
        CallError{ CallPhase::eBody,
                   ErrorCode::eProtocol,
                   "the response is too large to hold",
                   false });
    }
    response.body() += **chunk;
  }
}

} // namespace

Task<CallResult<HttpResponse>>
Fetch(Worker& aWorker,
      Endpoint aEndpoint,
      HttpRequest aRequest,
      CallTimeouts aTimeouts,
      bool aNewConnection,
      PreSendCheck aPreSendCheck)
{
  auto first = co_await FetchOnce(
    aWorker, aEndpoint, aRequest, aTimeouts, aNewConnection, aPreSendCheck);
  const bool stale = !first && first.error().reused && !aNewConnection &&
                     first.error().phase != CallPhase::eBody;
  if (!stale) {
    co_return first;
  }
  aWorker.connectionPool.CloseIdle(aEndpoint);
  auto second = co_await FetchOnce(
    aWorker, aEndpoint, std::move(aRequest), aTimeouts, true, aPreSendCheck);
  co_return second;
}

} // namespace toucanshed
