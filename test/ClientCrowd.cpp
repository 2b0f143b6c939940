#include "ClientCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace toucanshed::test {

namespace {

constexpr int kPollTimeoutMs = 20;
constexpr int kSmallReceiveBytes = 4096;
/** A client that gets rid of nothing for this time is held back. */
constexpr std::chrono::milliseconds kStandstill{ 1500 };
constexpr std::chrono::milliseconds kReturnPause{ 20 };

/** So many bytes are sent by one call. */
constexpr std::size_t kSendBytes = std::size_t{ 64 } << 10U;

/** The script with what it repeats written out for some sends. */
ClientScript
WriteOut(ClientScript aScript)
{
  const std::string once = aScript.repeated;
  while (!once.empty() && aScript.repeated.size() < kSendBytes) {
    aScript.repeated += once;
  }
  return aScript;
}

} // namespace

struct ClientCrowd::Client
{
  int socket = -1;
  std::size_t sent = 0;
  bool finished = false;
  std::chrono::steady_clock::time_point connectAt;
};

ClientCrowd::ClientCrowd(const Endpoint& aServer,
                         std::size_t aCount,
                         ClientScript aScript)
  : server(aServer)
  , count(aCount)
  , script(WriteOut(std::move(aScript)))
  , totalBytes(script.head.size() + script.repeatedBytes + script.tail.size())
  , thread([this] { this->Run(); })
{
}

ClientCrowd::~ClientCrowd()
{
  this->stopped = true;
  this->thread.join();
}

void
ClientCrowd::AwaitSent()
{
  auto progressAt = std::chrono::steady_clock::now();
  std::size_t seen = this->sentBytes;
  while (this->finished < this->count) {
    std::this_thread::sleep_for(kReturnPause);
    const auto now = std::chrono::steady_clock::now();
    if (this->sentBytes != seen) {
      seen = this->sentBytes;
      progressAt = now;
    }
    if (now - progressAt > kStandstill) {
      return;
    }
  }
}

void
ClientCrowd::Connect(Client& aClient, const Endpoint& aServer, bool aReads)
{
  aClient.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (!aReads) {
    setsockopt(aClient.socket,
               SOL_SOCKET,
               SO_RCVBUF,
               &kSmallReceiveBytes,
               sizeof kSmallReceiveBytes);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aServer.port());
  inet_pton(AF_INET, aServer.address().to_string().c_str(), &address.sin_addr);
  ::connect(aClient.socket,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
  aClient.sent = 0;
}

void
ClientCrowd::End(Client& aClient)
{
  ::close(aClient.socket);
  aClient.socket = -1;
  aClient.connectAt = std::chrono::steady_clock::now() + kReturnPause;
  if (!aClient.finished) {
    aClient.finished = true;
    ++this->finished;
  }
}

void
ClientCrowd::Send(Client& aClient)
{
  const std::size_t headEnd = this->script.head.size();
  const std::size_t repeatedEnd = headEnd + this->script.repeatedBytes;
  while (aClient.sent < this->totalBytes) {
    std::string_view bytes;
    if (aClient.sent < headEnd) {
      bytes = std::string_view(this->script.head).substr(aClient.sent);
    } else if (aClient.sent < repeatedEnd) {
      const std::size_t offset =
        (aClient.sent - headEnd) % this->script.repeated.size();
      bytes = std::string_view(this->script.repeated)
                .substr(offset, repeatedEnd - aClient.sent);
    } else {
      bytes =
        std::string_view(this->script.tail).substr(aClient.sent - repeatedEnd);
    }
    const ssize_t sent =
      ::send(aClient.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        this->End(aClient);
      }
      return;
    }
    aClient.sent += static_cast<std::size_t>(sent);
    this->sentBytes += static_cast<std::size_t>(sent);
  }
  if (!aClient.finished) {
    aClient.finished = true;
    ++this->finished;
  }
  if (this->script.resetsWhenSent) {
    const linger reset{ 1, 0 };
    setsockopt(aClient.socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    this->End(aClient);
  }
}

void
ClientCrowd::Receive(Client& aClient)
{
  std::array<char, 65536> discarded{};
  while (aClient.socket >= 0) {
    const ssize_t received =
      ::recv(aClient.socket, discarded.data(), discarded.size(), 0);
    if (received > 0) {
      continue;
    }
    if (received == 0 || (errno != EAGAIN && errno != EINTR)) {
      this->End(aClient);
    }
    return;
  }
}

void
ClientCrowd::Run()
{
  std::vector<Client> clients(this->count);
  std::vector<pollfd> waits(this->count);
  const bool returns = this->script.returns || this->script.resetsWhenSent;
  while (!this->stopped) {
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < this->count; ++i) {
      Client& client = clients[i];
      const bool connects = client.socket < 0 && now >= client.connectAt &&
                            (returns || !client.finished);
      if (connects) {
        Connect(client, this->server, this->script.reads);
      }
      const bool sends = client.sent < this->totalBytes;
      const int events =
        (sends ? POLLOUT : 0) | (this->script.reads ? POLLIN : 0);
      waits[i] = pollfd{ client.socket, static_cast<short>(events), 0 };
    }
    ::poll(waits.data(), waits.size(), kPollTimeoutMs);
    for (std::size_t i = 0; i < this->count; ++i) {
      Client& client = clients[i];
      if (waits[i].revents == 0 || client.socket < 0) {
        continue;
      }
      if ((waits[i].revents & (POLLERR | POLLHUP)) != 0) {
        this->End(client);
        continue;
      }
      if ((waits[i].revents & POLLIN) != 0) {
        this->Receive(client);
      }
      if ((waits[i].revents & POLLOUT) != 0 && client.socket >= 0) {
        this->Send(client);
      }
    }
  }
  for (Client& client : clients) {
    if (client.socket >= 0) {
      ::close(client.socket);
    }
  }
}

} // namespace toucanshed::test
