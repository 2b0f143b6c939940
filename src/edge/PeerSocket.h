/** \file
 * Sends and receives messages between daemons over ZeroMQ.
 */
#pragma once

#include "base/Result.h"
#include "peer.pb.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace toucanshed {

/** CURVE key pair of the peer port, encoded as Z85; empty for an unencrypted
 * port. */
struct PeerKeys
{
  std::string publicKey;
  std::string secretKey;
};

/** Traffic of the port since the start of the process. */
struct PeerTraffic
{
  std::atomic<std::uint64_t> messagesSent{ 0 };
  std::atomic<std::uint64_t> bytesSent{ 0 };
  std::atomic<std::uint64_t> messagesReceived{ 0 };
  std::atomic<std::uint64_t> bytesReceived{ 0 };
  std::atomic<std::uint64_t> rejectedHandshakes{ 0 };
};

/**
 * One thread owns all ZeroMQ sockets. Each message is one envelope and is sent
 * without waiting. If a daemon can't be reached, messages to it are dropped, as
 * an old probe has no use. With keys, a peer must both know this port's public
 * key and own the matching secret key.
 *
 * Thread safety: Send may be called from any thread. The receiver is called on
 * the socket's own thread and must not block.
 */
class PeerSocket
{
public:
  using Receiver = std::function<void(peer::Envelope)>;

  PeerSocket(std::string aAddress, PeerKeys aKeys, Receiver aReceiver);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /** Binds the port and starts the thread. Precondition: not started. */
  Result<void> Start();
  void Stop();
  void Send(const std::string& aAddress, const peer::Envelope& aEnvelope);

  [[nodiscard]] const PeerTraffic& Traffic() const { return this->traffic; }

private:
  struct Sockets;

  void Run();

  std::string address;
  PeerKeys keys;
  Receiver receiver;
  PeerTraffic traffic;
  std::unique_ptr<Sockets> sockets;
  std::thread thread;
};

} // namespace toucanshed
