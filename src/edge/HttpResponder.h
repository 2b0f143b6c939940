/** \file
 * Writes one HTTP response, whole or in chunks.
 */
#pragma once

#include "HttpTypes.h"
#include "Task.h"
#include "coord/ClientLedger.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>

namespace toucanshed {

class ClientPlace;

/**
 * The writing methods return false once the receiver has disconnected.
 *
 * Thread safety: none; belongs to the connection's worker.
 */
class HttpResponder
{
public:
  /** Precondition: the stream and the place outlive this. */
  HttpResponder(boost::beast::tcp_stream& aStream,
                bool aKeepAlive,
                ClientPlace* aPlace)
    : stream(aStream)
    , place(aPlace)
    , keepAlive(aKeepAlive)
  {
  }
  ~HttpResponder();
  HttpResponder(const HttpResponder&) = delete;
  HttpResponder& operator=(const HttpResponder&) = delete;

  /** Sends a whole response. Precondition: nothing was sent before. */
  Task<bool> Send(HttpResponse aResponse);

  /** Sends the head of a response whose body follows in chunks; aHead's body is
   * ignored. Precondition: nothing was sent before. */
  Task<bool> Begin(HttpResponse aHead);
  /** Sends a chunk of the body. Precondition: Begin was called and End was not.
   */
  Task<bool> Write(std::string aChunk);
  /** Ends the body. Without this call the receiver treats the response as
   * truncated.
   * \param aTrailers header fields that were not known at Begin, each line
   * ended by CR LF. */
  Task<bool> End(std::string aTrailers = {});

  /** Calls aOnDisconnect once if the receiver disconnects before the response
   * has ended, so that work for it can be stopped. Precondition: called once,
   * before anything is sent. aOnDisconnect may be called until this object is
   * destroyed. */
  void NotifyOnDisconnect(std::function<void()> aOnDisconnect);
  /** Whether the receiver has closed its side, asked of the kernel: a late loop
   * calls aOnDisconnect only seconds after. */
  [[nodiscard]] bool HasReceiverLeft();
  /** The receiver's place in the ledger of clients. */
  [[nodiscard]] ClientPlace& Place() { return *this->place; }
  /** Closes the connection after this response. */
  void DisableKeepAlive() { this->keepAlive = false; }

  [[nodiscard]] bool Started() const { return this->started; }
  /** Whether the connection may serve another request. */
  [[nodiscard]] bool IsConnectionReusable() const
  {
    return this->keepAlive && this->ended && !this->writeFailed;
  }

private:
  /** State of the wait on the socket, which may outlive the responder. */
  struct DisconnectWatch
  {
    std::function<void()> onDisconnect;
  };

  Task<bool> WriteRaw(std::string aText);
  /** Writes aHead and aBody, one after the other. */
  Task<bool> WriteAll(std::string_view aHead, std::string_view aBody);
  /** Holds a response while it is written. \return whether there is room */
  Task<bool> HoldResponse(std::size_t aBytes);

  boost::beast::tcp_stream& stream;
  ClientPlace* place;
  bool keepAlive;
  std::shared_ptr<DisconnectWatch> disconnectWatch;
  bool started = false;
  bool ended = false;
  bool writeFailed = false;
};

} // namespace toucanshed
