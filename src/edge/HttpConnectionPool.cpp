#include "HttpConnectionPool.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace toucanshed {

namespace {

/** Whether an idle connection is open and has no unread bytes. Such bytes
 * belong to no request (a duplicate or late response), and the end of the
 * stream means that the peer has closed the connection. */
bool
IsOpenAndIdle(HttpConnection& aConnection)
{
  char byte = 0;
  const ssize_t received = ::recv(aConnection.stream.socket().native_handle(),
                                  &byte,
                                  1,
                                  MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

bool
HttpConnectionPool::IsReusable(const IdleConnection& aIdle,
                               std::chrono::steady_clock::time_point aNow)
{
  std::chrono::duration<double> maxIdleTime = kMaxIdleTime;
  const std::chrono::duration<double> peerTimeout =
    aIdle.connection->keepAliveTimeout;
  if (peerTimeout.count() > 0) {
    maxIdleTime = std::min(maxIdleTime, peerTimeout * kKeepAliveFraction);
  }
  return aNow - aIdle.idleSince < maxIdleTime &&
         IsOpenAndIdle(*aIdle.connection);
}

std::unique_ptr<HttpConnection>
HttpConnectionPool::Acquire(const Endpoint& aEndpoint)
{
  auto& list = this->idleConnections[aEndpoint];
  const auto now = std::chrono::steady_clock::now();
  while (!list.empty()) {
    IdleConnection last = std::move(list.back());
    list.pop_back();
    if (IsReusable(last, now)) {
      last.connection->reused = true;
      return std::move(last.connection);
    }
  }
  return nullptr;
}

std::unique_ptr<HttpConnection>
HttpConnectionPool::Create(const Endpoint& aEndpoint)
{
  const bool hasRoom = this->clients.TryAddCall() ||
                       (this->CloseLongestIdle() && this->clients.TryAddCall());
  if (!hasRoom) {
    return nullptr;
  }
  return std::make_unique<HttpConnection>(
    HttpConnection{ boost::beast::tcp_stream(this->context),
                    boost::beast::flat_buffer(HttpConnection::kMaxBufferBytes),
                    aEndpoint,
                    std::chrono::steady_clock::now(),
                    CountedCall(this->clients) });
}

bool
HttpConnectionPool::CloseLongestIdle()
{
  std::vector<IdleConnection>* list = nullptr;
  for (auto& [endpoint, idle] : this->idleConnections) {
    const bool isLonger =
      !idle.empty() &&
      (list == nullptr || idle.front().idleSince < list->front().idleSince);
    list = isLonger ? &idle : list;
  }
  if (list == nullptr) {
    return false;
  }
  list->erase(list->begin());
  return true;
}

void
HttpConnectionPool::RemoveExpired(std::chrono::steady_clock::time_point aNow)
{
  if (aNow - this->lastCleanup < kMaxIdleTime) {
    return;
  }
  this->lastCleanup = aNow;
  for (auto& [endpoint, list] : this->idleConnections) {
    std::erase_if(list, [&](const IdleConnection& aIdle) {
      return aNow - aIdle.idleSince >= kMaxIdleTime;
    });
  }
  std::erase_if(this->idleConnections,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

void
HttpConnectionPool::Release(std::unique_ptr<HttpConnection> aConnection)
{
  this->RemoveExpired(std::chrono::steady_clock::now());
  auto& list = this->idleConnections[aConnection->endpoint];
  if (list.size() < kMaxIdlePerEndpoint) {
    list.push_back(IdleConnection{ std::move(aConnection),
                                   std::chrono::steady_clock::now() });
  }
}

void
HttpConnectionPool::CloseIdle(const Endpoint& aEndpoint)
{
  this->idleConnections.erase(aEndpoint);
}

} // namespace toucanshed
