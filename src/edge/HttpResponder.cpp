#include "HttpResponder.h"

#include "ClientGuard.h"
#include "MessageFields.h"
#include "base/Invariant.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <cstdio>
#include <sys/socket.h>

namespace toucanshed {

namespace net = boost::asio;

namespace {
/** If a receiver accepts nothing for this time, the write fails. */
constexpr std::chrono::seconds kWriteTimeout{ 30 };
}

HttpResponder::~HttpResponder()
{
  if (this->disconnectWatch != nullptr) {
    this->disconnectWatch->onDisconnect = nullptr;
  }
}

void
HttpResponder::NotifyOnDisconnect(std::function<void()> aOnDisconnect)
{
  this->disconnectWatch = std::make_shared<DisconnectWatch>();
  this->disconnectWatch->onDisconnect = std::move(aOnDisconnect);
  auto& socket = this->stream.socket();
  socket.async_wait(net::ip::tcp::socket::wait_read,
                    [watch = this->disconnectWatch,
                     &socket](const boost::system::error_code& aError) {
                      if (!watch->onDisconnect) {
                        return; // the response was sent; the socket may be gone
                      }
                      char byte = 0;
                      const ssize_t received =
                        aError
                          ? 0
                          : ::recv(socket.native_handle(), &byte, 1, MSG_PEEK);
                      if (received <= 0) {
                        watch->onDisconnect();
                      }
                    });
}

bool
HttpResponder::HasReceiverLeft()
{
  char byte = 0;
  const ssize_t received = ::recv(
    this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool open =
    received > 0 || errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  return received == 0 || !open;
}

Task<bool>
HttpResponder::WriteAll(std::string_view aHead, std::string_view aBody)
{
  if (this->writeFailed) {
    co_return false;
  }
  const std::array<net::const_buffer, 2> buffers{ net::buffer(aHead),
                                                  net::buffer(aBody) };
  boost::beast::buffers_suffix<std::array<net::const_buffer, 2>> rest(buffers);
  std::size_t left = aHead.size() + aBody.size();
  this->place->SetStage(ClientStage::eWriting);
  this->stream.expires_after(kWriteTimeout);
  boost::system::error_code error;
  while (left > 0 && !error) {
    const std::size_t written = co_await this->stream.async_write_some(
      rest, net::redirect_error(net::use_awaitable, error));
    rest.consume(written);
    left -= written;
    this->place->RecordMoved(written);
  }
  this->place->SetStage(ClientStage::eRunning);
  this->writeFailed = static_cast<bool>(error);
  co_return !this->writeFailed;
}

Task<bool>
HttpResponder::WriteRaw(std::string aText)
{
  co_return co_await this->WriteAll(aText, {});
}

Task<bool>
HttpResponder::HoldResponse(std::size_t aBytes)
{
  // Small ones are part of what is held for the request.
  constexpr std::size_t kSmallBytes = std::size_t{ 16 } << 10U;
  if (aBytes <= kSmallBytes ||
      aBytes <= this->place->Held(HeldBytes::eResponse)) {
    co_return true;
  }
  co_return co_await this->place->Hold(HeldBytes::eResponse, aBytes);
}

Task<bool>
HttpResponder::Send(HttpResponse aResponse)
{
  Invariant(!this->started, "a response is sent only once");
  this->started = true;
  this->ended = true;
  aResponse.keep_alive(this->keepAlive);
  aResponse.prepare_payload();
  const bool held = co_await this->HoldResponse(aResponse.body().capacity());
  if (!held) {
    this->writeFailed = true; // the connection is closed without a response
    co_return false;
  }
  const std::string text = FormatHead(aResponse);
  const bool sent = co_await this->WriteAll(text, aResponse.body());
  const bool released = this->place->TryHold(HeldBytes::eResponse, 0);
  Invariant(released, "fewer bytes are always held");
  co_return sent;
}

Task<bool>
HttpResponder::Begin(HttpResponse aHead)
{
  Invariant(!this->started, "a response is sent only once");
  this->started = true;
  aHead.keep_alive(this->keepAlive);
  aHead.body().clear();
  aHead.chunked(true);
  co_return co_await this->WriteRaw(FormatHead(aHead));
}

Task<bool>
HttpResponder::Write(std::string aChunk)
{
  Invariant(this->started && !this->ended,
            "chunks are written between Begin and End");
  if (aChunk.empty()) {
    co_return !this->writeFailed;
  }
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aChunk.size());
  co_return co_await this->WriteRaw(size.data() + aChunk + "\r\n");
}

Task<bool>
HttpResponder::End(std::string aTrailers)
{
  Invariant(this->started && !this->ended, "End is called once, after Begin");
  this->ended = true;
  std::string end = "0\r\n" + std::move(aTrailers) + "\r\n";
  co_return co_await this->WriteRaw(std::move(end));
}

} // namespace toucanshed
