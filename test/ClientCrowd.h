/** \file
 * Clients that don't behave: each sends the bytes of a script, whatever the
 * server answers, and stays connected.
 */
#pragma once

#include "edge/Endpoint.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace toucanshed::test {

/** What each client of a crowd does. */
struct ClientScript
{
  std::string head;
  std::string repeated;          // sent after the head, as often as it fits in
  std::size_t repeatedBytes = 0; // this many bytes
  std::string tail;
  bool reads = true;           // discards what it receives
  bool returns = false;        // connects again when it was disconnected
  bool resetsWhenSent = false; // and returns
};

/** Runs on a thread of its own from the construction to the destruction.
 *
 * Thread safety: all methods may be called from any thread. */
class ClientCrowd
{
public:
  ClientCrowd(const Endpoint& aServer,
              std::size_t aCount,
              ClientScript aScript);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /** Waits until each client has sent its script, was disconnected, or gets
   * rid of no more bytes. */
  void AwaitSent();

private:
  struct Client;

  void Run();
  static void Connect(Client& aClient, const Endpoint& aServer, bool aReads);
  void Send(Client& aClient);
  void Receive(Client& aClient);
  void End(Client& aClient);

  Endpoint server;
  std::size_t count;
  ClientScript script;
  std::size_t totalBytes;
  std::atomic<bool> stopped{ false };
  std::atomic<std::size_t> finished{ 0 }; // clients that have sent it or ended
  std::atomic<std::size_t> sentBytes{ 0 };
  std::thread thread;
};

} // namespace toucanshed::test
