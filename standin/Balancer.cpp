#include "Balancer.h"

#include "edge/HttpExchange.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace toucanshed::standin {

namespace net = boost::asio;

namespace {
constexpr std::chrono::milliseconds kProbeInterval{ 200 };
constexpr std::size_t kCopyBytes = 16384;
}

Balancer::Balancer(Worker& aWorker, std::vector<BalancerTarget> aTargets)
  : worker(aWorker)
  , targets(std::move(aTargets))
{
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    this->worker.Spawn(this->ProbeReadiness(i));
  }
}

Result<void>
Balancer::Listen(const Endpoint& aEndpoint)
{
  boost::system::error_code error;
  this->acceptor =
    std::make_unique<net::ip::tcp::acceptor>(this->worker.context);
  this->acceptor->open(aEndpoint.protocol(), error);
  this->acceptor->set_option(net::ip::tcp::acceptor::reuse_address(true),
                             error);
  this->acceptor->bind(aEndpoint, error);
  if (!error) {
    this->acceptor->listen(net::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorCode::eUnavailable, error.message());
  }
  this->worker.Spawn(this->Accept());
  return {};
}

Task<void>
Balancer::ProbeReadiness(std::size_t aIndex)
{
  BalancerTarget& target = this->targets[aIndex];
  CallTimeouts timeouts;
  timeouts.head = std::chrono::milliseconds(500);
  while (true) {
    HttpRequest request = MakeRequest(http::verb::get, "/readyz");
    const auto response = co_await Fetch(
      this->worker, target.operatorEndpoint, std::move(request), timeouts);
    target.ready = response && response->result_int() == 200;
    co_await Sleep(kProbeInterval);
  }
}

Task<void>
Balancer::Accept()
{
  while (true) {
    boost::system::error_code error;
    auto socket = co_await this->acceptor->async_accept(
      net::redirect_error(net::use_awaitable, error));
    if (error) {
      co_await Sleep(std::chrono::milliseconds(20));
      continue;
    }
    this->worker.Spawn(
      this->Forward(std::make_shared<Socket>(std::move(socket))));
  }
}

Task<void>
Balancer::Forward(std::shared_ptr<Socket> aCaller)
{
  for (std::size_t tries = 0; tries < this->targets.size(); ++tries) {
    const BalancerTarget& target =
      this->targets[this->nextTarget++ % this->targets.size()];
    if (!target.ready) {
      continue;
    }
    auto daemon = std::make_shared<Socket>(this->worker.context);
    boost::system::error_code error;
    co_await daemon->async_connect(
      target.callerEndpoint, net::redirect_error(net::use_awaitable, error));
    if (error) {
      continue;
    }
    boost::system::error_code ignored;
    aCaller->set_option(net::ip::tcp::no_delay(true), ignored);
    daemon->set_option(net::ip::tcp::no_delay(true), ignored);
    this->worker.Spawn(RelayBytes(aCaller, daemon));
    co_await RelayBytes(daemon, aCaller);
    co_return;
  }
}

Task<void>
Balancer::RelayBytes(std::shared_ptr<Socket> aFrom, std::shared_ptr<Socket> aTo)
{
  std::array<char, kCopyBytes> chunk{};
  boost::system::error_code error;
  while (true) {
    const std::size_t size = co_await aFrom->async_read_some(
      net::buffer(chunk), net::redirect_error(net::use_awaitable, error));
    if (error) {
      break;
    }
    co_await net::async_write(*aTo,
                              net::buffer(chunk.data(), size),
                              net::redirect_error(net::use_awaitable, error));
    if (error) {
      break;
    }
  }
  boost::system::error_code ignored;
  const bool reset = error == net::error::connection_reset;
  aTo->shutdown(reset ? net::socket_base::shutdown_both
                      : net::socket_base::shutdown_send,
                ignored);
}

} // namespace toucanshed::standin
