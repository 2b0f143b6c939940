/** \file
 * Counts what a process holds for its clients, and chooses whose connection is
 * closed when there is no more room.
 */
#pragma once

#include "ClientLimits.h"
#include "base/Types.h"

#include <array>
#include <functional>
#include <list>
#include <vector>

namespace toucanshed {

/** What bytes are held for. */
enum class HeldBytes
{
  eRequest,
  eResponse, // of a back end, for a client
  eFetch,    // a response that the process itself uses
};

/** What a client's connection is doing. */
enum class ClientStage
{
  eIdle,    // between two requests
  eReading, // a request has begun and is not complete
  eRunning, // the request waits or runs; the connection is not closed for room
  eWriting, // a response is being sent
};

/** A client's connection, as the ledger keeps it. */
struct ClientEntry
{
  std::size_t port = 0;
  ClientStage stage = ClientStage::eIdle;
  std::size_t requestBytes = 0;
  std::size_t responseBytes = 0;
  /** Since then it has moved less than kProgressBytes. */
  TimePoint progressAt;
  std::size_t movedBytes = 0; // since progressAt
  bool holdsBackend = false;  // a back end cannot write on until it reads
  bool closing = false;       // chosen to be closed
  std::function<void()> close;
};

/**
 * Every port has a part of the room that the others cannot take, so that a
 * crowd at one port leaves room at the others. Large requests leave a part to
 * small ones.
 *
 * When there is no room, a connection that has stood still is closed: it is one
 * of the port that needs the room, or of one that uses more than its part. A
 * connection that sends a few bytes now and then counts as standing still.
 *
 * \code
 * auto entry = ledger.Add(port, now, [&] { socket.close(); });
 * while (!ledger.TryHold(entry, HeldBytes::eRequest, bytes)) {
 *   if (!ledger.CloseOne(entry, HeldBytes::eRequest, now)) { refuse; }
 *   ... until the connection that was closed is removed
 * }
 * \endcode
 *
 * Thread safety: none; ClientGuard protects it.
 */
class ClientLedger
{
public:
  using Entry = std::list<ClientEntry>::iterator;

  /** Larger requests leave room to smaller ones. */
  static constexpr std::size_t kSmallRequestBytes = std::size_t{ 96 } << 10U;
  /** Fewer bytes are no progress. */
  static constexpr std::size_t kProgressBytes = 4096;
  /** A connection that has made progress within this time is not closed for
   * another one's bytes. */
  static constexpr Millis kMinStandstill{ 250 };
  /** The same for a client that does not read, when others wait for the back
   * end that is writing to it. */
  static constexpr Millis kMinWriteStandstill{ 1000 };

  explicit ClientLedger(ClientLimits aLimits)
    : limits(aLimits)
  {
  }

  void SetLimits(ClientLimits aLimits) { this->limits = aLimits; }
  [[nodiscard]] const ClientLimits& Limits() const { return this->limits; }

  /** Adds a port that clients connect to.
   * \param aPart its part of the room, from 0 to 1; all parts together are
   *   below 1 */
  std::size_t AddPort(double aPart);

  /** Whether the port may have one more connection. */
  [[nodiscard]] bool HasRoomAt(std::size_t aPort) const;
  /** Adds a connection, which is idle. Precondition: HasRoomAt.
   * \param aClose called when it is chosen to be closed; its owner removes it
   *   once it is closed */
  Entry Add(std::size_t aPort, TimePoint aNow, std::function<void()> aClose);
  /** Removes a connection with all that is held for it. */
  void Remove(Entry aEntry);

  /** The connection begins something else. */
  void SetStage(Entry aEntry, ClientStage aStage, TimePoint aNow);
  /** Bytes were received or sent. */
  void RecordMoved(Entry aEntry, std::size_t aBytes, TimePoint aNow);

  /** A back end writes a stream to the client from now on, or no longer. */
  static void SetHoldsBackend(Entry aEntry, bool aHolds)
  {
    aEntry->holdsBackend = aHolds;
  }

  /** Sets how many bytes of a kind are held for a connection from now on.
   * \return whether there is room; if not, nothing changes */
  [[nodiscard]] bool TryHold(Entry aEntry, HeldBytes aKind, std::size_t aBytes);
  /** The same for bytes of calls that belong to no client's connection.
   * \param aHeld what the call holds, in and out */
  [[nodiscard]] bool TryHoldForCall(HeldBytes aKind,
                                    std::size_t aBytes,
                                    std::size_t& aHeld);

  /** Counts a connection to another process. \return whether there may be one
   */
  [[nodiscard]] bool TryAddCall();
  void RemoveCall();

  /** Chooses a connection that holds bytes of the kind, and has it closed.
   * \param aFor the connection that needs the room; it is not chosen
   * \return whether one is being closed now */
  bool CloseForBytes(Entry aFor, HeldBytes aKind, TimePoint aNow);
  /** Chooses the connection that has stood still longest, so that the port may
   * have another one. */
  bool CloseForConnection(std::size_t aPort);
  /** Chooses the client that has not read a stream for longest, so that the
   * back end which writes it becomes free. */
  bool CloseUnread(TimePoint aNow);

  [[nodiscard]] std::size_t Held(HeldBytes aKind) const
  {
    return this->held.at(static_cast<std::size_t>(aKind));
  }
  /** Whether connections that were chosen are not closed yet. */
  [[nodiscard]] bool HasClosing() const { return this->closing > 0; }
  [[nodiscard]] std::size_t Connections() const { return this->connections; }
  [[nodiscard]] std::size_t Calls() const { return this->calls; }
  /** Connections that were closed for room, since the start. */
  [[nodiscard]] std::size_t ClosedForRoom() const { return this->closed; }

private:
  struct Port
  {
    double part = 0;
    std::size_t requestBytes = 0;
    std::size_t connections = 0;
  };

  [[nodiscard]] std::size_t& HeldOf(HeldBytes aKind)
  {
    return this->held.at(static_cast<std::size_t>(aKind));
  }
  [[nodiscard]] std::size_t LimitOf(HeldBytes aKind) const;
  [[nodiscard]] bool HasRoomForRequest(const ClientEntry& aEntry,
                                       std::size_t aBytes) const;
  /** Whether connections of the port may be closed so that another port has
   * room. */
  [[nodiscard]] bool MayCloseFor(const ClientEntry& aEntry,
                                 std::size_t aPort) const;
  bool Close(ClientEntry& aEntry);

  ClientLimits limits;
  std::vector<Port> ports;
  std::array<std::size_t, 3> held{};
  std::size_t connections = 0;
  std::size_t calls = 0;
  std::size_t closing = 0; // chosen, and not removed yet
  std::size_t closed = 0;
  std::list<ClientEntry> standing; // those that may be closed, by progressAt
  std::list<ClientEntry> running;
};

} // namespace toucanshed
