/** \file
 * The process's ledger of what it holds for its clients, shared by all workers,
 * and one client's connection in it.
 */
#pragma once

#include "Task.h"
#include "coord/ClientLedger.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <mutex>

namespace toucanshed {

/** What is held at a moment. */
struct ClientUsage
{
  std::size_t requestBytes = 0;
  std::size_t responseBytes = 0;
  std::size_t fetchBytes = 0;
  std::size_t connections = 0;
  std::size_t calls = 0;
  std::size_t closedForRoom = 0; // since the start
  std::size_t refused = 0;       // requests, since the start
};

/** Thread safety: all methods may be called from any thread. */
class ClientGuard
{
public:
  explicit ClientGuard(ClientLimits aLimits)
    : ledger(aLimits)
  {
  }
  ClientGuard(const ClientGuard&) = delete;
  ClientGuard& operator=(const ClientGuard&) = delete;

  void SetLimits(ClientLimits aLimits);
  /** Adds a port, see ClientLedger. */
  std::size_t AddPort(double aPart);
  [[nodiscard]] ClientUsage Usage();
  void CountRefusal();

  /** See ClientLedger. */
  [[nodiscard]] bool TryHoldForCall(HeldBytes aKind,
                                    std::size_t aBytes,
                                    std::size_t& aHeld);
  [[nodiscard]] bool TryAddCall();
  void RemoveCall();
  bool CloseUnread();

private:
  friend class ClientPlace;

  std::mutex mutex;
  ClientLedger ledger;
  std::size_t refused = 0;
};

/**
 * One client's connection, from its acceptance to its end. When it is chosen to
 * be closed for room, a read of a request is cancelled, so that the client can
 * still get the response that it did not run; in other stages the connection is
 * closed.
 *
 * Thread safety: none; belongs to the connection's worker.
 */
class ClientPlace
{
public:
  /** Takes a place for a connection that was accepted; if need be, the one that
   * has stood still longest is closed for it. Null if there is no room.
   * Precondition: the guard and the stream outlive the place. */
  static std::unique_ptr<ClientPlace> Open(ClientGuard& aGuard,
                                           std::size_t aPort,
                                           boost::beast::tcp_stream& aStream);
  ~ClientPlace();
  ClientPlace(const ClientPlace&) = delete;
  ClientPlace& operator=(const ClientPlace&) = delete;

  void SetStage(ClientStage aStage);
  /** Bytes were received or sent. */
  void RecordMoved(std::size_t aBytes);
  /** See ClientLedger. */
  void SetHoldsBackend(bool aHolds);
  /** Sets how many bytes of a kind are held for the connection from now on.
   * \return whether there is room; if not, nothing changes */
  [[nodiscard]] bool TryHold(HeldBytes aKind, std::size_t aBytes);
  /** The same, after connections that have stood still were closed if need be.
   */
  Task<bool> Hold(HeldBytes aKind, std::size_t aBytes);
  /** Bytes that are held for the connection. */
  [[nodiscard]] std::size_t Held(HeldBytes aKind) const;
  /** Whether it was chosen to be closed for room. */
  [[nodiscard]] bool IsClosing() const { return this->socket->closing; }
  [[nodiscard]] ClientGuard& Guard() { return this->guard; }

private:
  /** What a posted close needs; it may run after the place has gone. */
  struct Socket
  {
    boost::beast::tcp_stream* stream = nullptr; // null once it has gone
    ClientStage stage = ClientStage::eIdle;
    bool closing = false;

    void Close();
  };

  ClientPlace(ClientGuard& aGuard, boost::beast::tcp_stream& aStream);

  ClientGuard& guard;
  std::shared_ptr<Socket> socket;
  ClientLedger::Entry entry;
};

} // namespace toucanshed
