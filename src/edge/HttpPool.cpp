#include "HttpPool.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace toucanshed {

namespace {

/** Whether nothing has arrived on an idle connection. Bytes there belong to no
 * request (an answer that came twice, or late), and the end of the stream says
 * that the peer has closed it. */
bool
Quiet(HttpConnection& aConnection)
{
  char byte = 0;
  const ssize_t got = ::recv(aConnection.stream.socket().native_handle(),
                             &byte,
                             1,
                             MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

bool
HttpPool::Fit(const Idle& aIdle, std::chrono::steady_clock::time_point aNow)
{
  std::chrono::duration<double> most = kMostIdleTime;
  const std::chrono::duration<double> said = aIdle.connection->keepAlive;
  if (said.count() > 0) {
    most = std::min(most, said * kUsedKeepAlive);
  }
  return aNow - aIdle.since < most && Quiet(*aIdle.connection);
}

std::unique_ptr<HttpConnection>
HttpPool::Take(const Endpoint& aEndpoint)
{
  auto& list = this->idle[aEndpoint];
  const auto now = std::chrono::steady_clock::now();
  while (!list.empty()) {
    Idle last = std::move(list.back());
    list.pop_back();
    if (Fit(last, now)) {
      last.connection->reused = true;
      return std::move(last.connection);
    }
  }
  return nullptr;
}

std::unique_ptr<HttpConnection>
HttpPool::Make(const Endpoint& aEndpoint)
{
  return std::make_unique<HttpConnection>(
    HttpConnection{ boost::beast::tcp_stream(this->context),
                    {},
                    aEndpoint,
                    std::chrono::steady_clock::now() });
}

void
HttpPool::Sweep(std::chrono::steady_clock::time_point aNow)
{
  if (aNow - this->lastSweep < kMostIdleTime) {
    return;
  }
  this->lastSweep = aNow;
  for (auto& [endpoint, list] : this->idle) {
    std::erase_if(list, [&](const Idle& aIdle) {
      return aNow - aIdle.since >= kMostIdleTime;
    });
  }
  std::erase_if(this->idle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
HttpPool::Give(std::unique_ptr<HttpConnection> aConnection)
{
  this->Sweep(std::chrono::steady_clock::now());
  auto& list = this->idle[aConnection->endpoint];
  if (list.size() < kMostIdle) {
    list.push_back(
      Idle{ std::move(aConnection), std::chrono::steady_clock::now() });
  }
}

void
HttpPool::Drop(const Endpoint& aEndpoint)
{
  this->idle.erase(aEndpoint);
}

} // namespace toucanshed
