#include "NetworkPath.h"

#include "edge/Worker.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace toucanshed::standin {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 2 };
/** Connections that fill the queue of a listener with a backlog of 0. */
constexpr int kFillers = 2;

void
Reset(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(net::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

/** Whether the peer has reset the connection. Bytes that it sent before may
 * still be readable here, but on a real path they would be lost. */
bool
IsReset(tcp::socket& aSocket)
{
  int error = 0;
  socklen_t size = sizeof(error);
  const int result =
    ::getsockopt(aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
  return result == 0 && error != 0;
}

} // namespace

NetworkPath::NetworkPath(net::io_context& aContext,
                         const Endpoint& aEntry,
                         const Endpoint& aTarget)
  : context(aContext)
  , entry(aEntry)
  , target(aTarget)
{
  this->Listen();
}

NetworkPath::~NetworkPath()
{
  this->StopListening();
}

void
NetworkPath::StopListening()
{
  this->fillers.clear();
  if (this->acceptor != nullptr) {
    boost::system::error_code ignored;
    this->acceptor->close(ignored);
    this->acceptor.reset();
  }
}

void
NetworkPath::Listen()
{
  this->StopListening();
  this->acceptor = std::make_shared<tcp::acceptor>(this->context);
  this->acceptor->open(this->entry.protocol());
  this->acceptor->set_option(tcp::acceptor::reuse_address(true));
  this->acceptor->bind(this->entry);
  const bool hangs = this->shared->state == PathState::eHung;
  this->acceptor->listen(hangs ? 0 : net::socket_base::max_listen_connections);
  if (hangs) {
    this->FillQueue();
    return;
  }
  net::co_spawn(this->context,
                Accept(this->acceptor, this->shared, this->target),
                net::detached);
}

void
NetworkPath::FillQueue()
{
  for (int i = 0; i < kFillers; ++i) {
    this->fillers.emplace_back(this->context, this->entry.protocol());
    this->fillers.back().async_connect(this->entry,
                                       [](const boost::system::error_code&) {});
  }
}

void
NetworkPath::ResetConnections()
{
  for (const auto& entryOfList : this->shared->connections) {
    if (const auto connection = entryOfList.lock()) {
      Reset(connection->near);
      Reset(connection->far);
    }
  }
  this->shared->connections.clear();
}

void
NetworkPath::SetState(PathState aState)
{
  this->shared->state = aState;
  switch (aState) {
    case PathState::eOpen:
    case PathState::eHung:
      this->Listen();
      break;
    case PathState::eReset:
      this->StopListening();
      this->ResetConnections();
      break;
    case PathState::eHalfOpen:
      this->StopListening();
      break;
  }
}

Task<void>
NetworkPath::Accept(std::shared_ptr<tcp::acceptor> aAcceptor,
                    std::shared_ptr<Shared> aShared,
                    Endpoint aTarget)
{
  while (true) {
    boost::system::error_code error;
    tcp::socket near = co_await aAcceptor->async_accept(
      net::redirect_error(net::use_awaitable, error));
    if (error) {
      co_return;
    }
    tcp::socket far(near.get_executor());
    co_await far.async_connect(aTarget,
                               net::redirect_error(net::use_awaitable, error));
    if (error) {
      Reset(near);
      continue;
    }
    boost::system::error_code ignored;
    near.set_option(tcp::no_delay(true), ignored);
    far.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(
      Connection{ std::move(near), std::move(far) });
    aShared->connections.push_back(connection);
    auto executor = connection->near.get_executor();
    net::co_spawn(executor, Forward(connection, aShared, true), net::detached);
    net::co_spawn(executor, Forward(connection, aShared, false), net::detached);
  }
}

Task<void>
NetworkPath::Forward(std::shared_ptr<Connection> aConnection,
                     std::shared_ptr<Shared> aShared,
                     bool aOutwards)
{
  tcp::socket& from = aOutwards ? aConnection->near : aConnection->far;
  tcp::socket& to = aOutwards ? aConnection->far : aConnection->near;
  std::array<char, 16384> buffer{};
  boost::system::error_code error;
  while (!error) {
    const std::size_t size = co_await from.async_read_some(
      net::buffer(buffer), net::redirect_error(net::use_awaitable, error));
    bool hung = false;
    while (aShared->state == PathState::eHung) {
      hung = true;
      co_await Sleep(kPollInterval);
    }
    if (hung && IsReset(from)) {
      Reset(to);
      co_return;
    }
    if (!error) {
      co_await net::async_write(to,
                                net::buffer(buffer.data(), size),
                                net::redirect_error(net::use_awaitable, error));
    }
  }
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace toucanshed::standin
