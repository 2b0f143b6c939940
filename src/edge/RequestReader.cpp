#include "RequestReader.h"

#include "HttpServer.h"
#include "base/Invariant.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

namespace toucanshed {

namespace net = boost::asio;

namespace {

/** Memory of a request that is read, waits or runs, beside its body and what
 * was read ahead of it. */
constexpr std::size_t kRequestBytes = std::size_t{ 24 } << 10U;
/** What kRequestBytes has room for, and how often a longer head is held: as it
 * was read, as it is sent on, and while it is written. */
constexpr std::size_t kUsualHeadBytes = std::size_t{ 6 } << 10U;
constexpr std::size_t kHeadCopies = 3;
/** Most bytes that are read ahead, and so the longest chunk header and the
 * longest trailer. */
constexpr std::size_t kMaxReadAheadBytes = std::size_t{ 64 } << 10U;
/** What is read at once. */
constexpr std::size_t kReadBytes = std::size_t{ 4 } << 10U;
constexpr std::size_t kLargeReadBytes = std::size_t{ 32 } << 10U;
/** Bodies from this length on are read in large parts. */
constexpr std::size_t kLargeBodyBytes = std::size_t{ 64 } << 10U;

} // namespace

RequestReader::RequestReader(ClientConnection& aConnection,
                             const HttpLimits& aLimits)
  : connection(aConnection)
  , limits(aLimits)
  , timeout(aConnection.stream, aLimits.requestTimeout)
{
  this->parser.header_limit(aLimits.maxHeaderBytes);
  this->parser.body_limit(aLimits.maxBodyBytes);
  const std::size_t headBytes = aLimits.maxHeaderBytes + kReadBytes;
  this->connection.buffer.max_size(std::max(kMaxReadAheadBytes, headBytes));
}

std::size_t
RequestReader::AllocatedBytes(std::size_t aExtraBytes) const
{
  const std::size_t body = this->parser.get().body().capacity();
  const std::size_t longHead =
    this->headBytes - std::min(this->headBytes, kUsualHeadBytes);
  return kRequestBytes + kHeadCopies * longHead +
         this->connection.buffer.capacity() +
         this->limits.bodyCopies * (body + aExtraBytes);
}

bool
RequestReader::TryHold(std::size_t aExtraBytes)
{
  return this->connection.place->TryHold(HeldBytes::eRequest,
                                         this->AllocatedBytes(aExtraBytes));
}

Task<bool>
RequestReader::MakeRoom(std::size_t aExtraBytes)
{
  const bool held = co_await this->connection.place->Hold(
    HeldBytes::eRequest, this->AllocatedBytes(aExtraBytes));
  this->noRoom = !held;
  co_return held;
}

Task<boost::system::error_code>
RequestReader::ReadSome()
{
  if (this->timeout.HasTimedOut()) {
    co_return boost::beast::error::timeout;
  }
  if (this->connection.place->IsClosing()) {
    this->noRoom = true;
    co_return net::error::operation_aborted;
  }
  boost::system::error_code error;
  const bool readsHead = !this->parser.is_header_done();
  const std::size_t buffered = this->connection.buffer.size();
  const std::size_t parsed = co_await http::async_read_some(
    this->connection.stream,
    this->connection.buffer,
    this->parser,
    net::redirect_error(net::use_awaitable, error));
  const std::size_t left = this->connection.buffer.size();
  this->connection.place->RecordMoved(parsed + left -
                                      std::min(buffered, parsed + left));
  this->noRoom = this->connection.place->IsClosing();
  if (readsHead) {
    this->headBytes = this->parser.is_header_done() ? parsed : left;
  }
  co_return error;
}

Task<boost::system::error_code>
RequestReader::ReadHead()
{
  while (!this->parser.is_header_done()) {
    const bool held = this->TryHold(0) || co_await this->MakeRoom(0);
    if (!held) {
      co_return net::error::operation_aborted;
    }
    const auto error = co_await this->ReadSome();
    if (error) {
      co_return error;
    }
  }
  co_return boost::system::error_code{};
}

Task<bool>
RequestReader::GrowBody()
{
  std::string& body = this->parser.get().body();
  const auto& buffer = this->connection.buffer;
  const std::size_t next =
    buffer.size() + std::max(kReadBytes, buffer.capacity());
  const std::size_t needed = body.size() + next;
  if (needed <= body.capacity()) {
    co_return this->TryHold(0) || co_await this->MakeRoom(0);
  }
  const std::size_t most = this->limits.maxBodyBytes + next;
  const std::size_t capacity =
    std::max(needed, std::min(most, 2 * body.capacity()));
  const std::size_t extra = capacity - body.capacity();
  const bool held = this->TryHold(extra) || co_await this->MakeRoom(extra);
  if (held) {
    body.reserve(capacity);
  }
  co_return held;
}

Task<boost::system::error_code>
RequestReader::ReadBody()
{
  const auto length = this->parser.content_length();
  const std::size_t announced = length ? *length : 0;
  if (announced >= kLargeBodyBytes) {
    this->connection.buffer.reserve(kLargeReadBytes);
  }
  this->parser.eager(true);
  while (!this->parser.is_done()) {
    const std::string& body = this->parser.get().body();
    const std::size_t missing =
      announced - std::min(announced, body.capacity());
    const bool held =
      length ? this->TryHold(missing) || co_await this->MakeRoom(missing)
             : co_await this->GrowBody();
    if (!held) {
      co_return net::error::operation_aborted;
    }
    const auto error = co_await this->ReadSome();
    if (error) {
      co_return error;
    }
    if (!length && body.size() >= kLargeBodyBytes) {
      this->connection.buffer.reserve(kLargeReadBytes);
    }
  }
  co_return boost::system::error_code{};
}

ReadFailure
RequestReader::Fail(boost::system::error_code aError)
{
  ReadFailure failure;
  failure.noRoom = this->noRoom;
  failure.error = this->noRoom ? boost::system::error_code{} : aError;
  if (this->parser.is_header_done()) {
    failure.fields = this->parser.get().base();
  }
  return failure;
}

Task<tl::expected<HttpRequest, ReadFailure>>
RequestReader::Read()
{
  auto error = co_await this->ReadHead();
  if (!error) {
    error = co_await this->ReadBody();
  }
  if (error && this->timeout.HasTimedOut()) {
    error = boost::beast::error::timeout;
  }
  if (error) {
    co_return tl::unexpected<ReadFailure>(this->Fail(error));
  }
  auto& buffer = this->connection.buffer;
  if (buffer.size() == 0 && buffer.capacity() > kReadBytes) {
    buffer.shrink_to_fit();
  }
  const bool held = this->TryHold(0) || co_await this->MakeRoom(0);
  if (!held) {
    co_return tl::unexpected<ReadFailure>(this->Fail(error));
  }
  co_return this->parser.release();
}

void
RequestReader::Release(ClientConnection& aConnection)
{
  const auto& buffer = aConnection.buffer;
  const std::size_t held = aConnection.place->Held(HeldBytes::eRequest);
  const std::size_t kept =
    buffer.size() == 0 ? 0 : std::min(held, buffer.capacity());
  const bool fewer = aConnection.place->TryHold(HeldBytes::eRequest, kept);
  Invariant(fewer, "fewer bytes are always held");
}

} // namespace toucanshed
