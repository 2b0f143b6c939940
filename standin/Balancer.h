/** \file
 * Stand-in for the platform's balancer. It forwards TCP connections in turn to
 * the entry instances that report that they are ready.
 */
#pragma once

#include "edge/Endpoint.h"
#include "edge/Worker.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace toucanshed::standin {

struct BalancerTarget
{
  Endpoint callerEndpoint;
  Endpoint operatorEndpoint;
  bool ready = false;
};

/** Thread safety: none; runs on one worker. */
class Balancer
{
public:
  Balancer(Worker& aWorker, std::vector<BalancerTarget> aTargets);

  Result<void> Listen(const Endpoint& aEndpoint);

private:
  using Socket = boost::asio::ip::tcp::socket;

  Task<void> Accept();
  Task<void> ProbeReadiness(std::size_t aIndex);
  Task<void> Forward(std::shared_ptr<Socket> aCaller);
  static Task<void> RelayBytes(std::shared_ptr<Socket> aFrom,
                               std::shared_ptr<Socket> aTo);

  Worker& worker;
  std::vector<BalancerTarget> targets;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::size_t nextTarget = 0;
};

} // namespace toucanshed::standin
