#include "HttpResponder.h"

#include "base/Invariant.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <sstream>
#include <sys/socket.h>

namespace toucanshed {

namespace net = boost::asio;

namespace {
/** A receiver that takes nothing for this long is given up. */
constexpr std::chrono::seconds kWriteTimeout{ 30 };
}

HttpResponder::~HttpResponder()
{
  if (this->disconnectWatch != nullptr) {
    this->disconnectWatch->onDisconnect = nullptr;
  }
}

void
HttpResponder::NotifyOnDisconnect(std::function<void()> aOnGone)
{
  this->disconnectWatch = std::make_shared<DisconnectWatch>();
  this->disconnectWatch->onDisconnect = std::move(aOnGone);
  auto& socket = this->stream.socket();
  socket.async_wait(net::ip::tcp::socket::wait_read,
                    [watch = this->disconnectWatch,
                     &socket](const boost::system::error_code& aError) {
                      if (!watch->onDisconnect) {
                        return; // answered; the socket may be gone
                      }
                      char byte = 0;
                      const ssize_t got =
                        aError
                          ? 0
                          : ::recv(socket.native_handle(), &byte, 1, MSG_PEEK);
                      if (got <= 0) {
                        watch->onDisconnect();
                      }
                    });
}

Task<bool>
HttpResponder::WriteRaw(std::string aText)
{
  if (this->writeFailed) {
    co_return false;
  }
  boost::system::error_code error;
  this->stream.expires_after(kWriteTimeout);
  co_await net::async_write(this->stream,
                            net::buffer(aText),
                            net::redirect_error(net::use_awaitable, error));
  this->writeFailed = static_cast<bool>(error);
  co_return !this->writeFailed;
}

Task<bool>
HttpResponder::Send(HttpResponse aReply)
{
  Invariant(!this->started, "an answer is sent once");
  this->started = true;
  this->ended = true;
  aReply.keep_alive(this->keepAlive);
  aReply.prepare_payload();
  boost::system::error_code error;
  this->stream.expires_after(kWriteTimeout);
  co_await http::async_write(
    this->stream, aReply, net::redirect_error(net::use_awaitable, error));
  this->writeFailed = static_cast<bool>(error);
  co_return !this->writeFailed;
}

Task<bool>
HttpResponder::Begin(HttpResponse aHead)
{
  Invariant(!this->started, "an answer is sent once");
  this->started = true;
  aHead.keep_alive(this->keepAlive);
  aHead.body().clear();
  aHead.chunked(true);
  std::ostringstream text;
  text << aHead.base();
  co_return co_await this->WriteRaw(text.str());
}

Task<bool>
HttpResponder::Write(std::string aPiece)
{
  Invariant(this->started && !this->ended, "pieces follow a begun answer");
  if (aPiece.empty()) {
    co_return !this->writeFailed;
  }
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aPiece.size());
  co_return co_await this->WriteRaw(size.data() + aPiece + "\r\n");
}

Task<bool>
HttpResponder::End(std::string aTrailers)
{
  Invariant(this->started && !this->ended, "a begun answer ends once");
  this->ended = true;
  std::string last = "0\r\n" + std::move(aTrailers) + "\r\n";
  co_return co_await this->WriteRaw(std::move(last));
}

} // namespace toucanshed
