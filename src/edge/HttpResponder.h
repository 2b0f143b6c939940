/** \file
 * Writes one answer, whole or in pieces.
 */
#pragma once

#include "HttpTypes.h"
#include "Task.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>

namespace toucanshed {

/**
 * Thread safety: none; belongs to the connection's worker. Every method
 * answers false once the receiver has gone.
 */
class HttpResponder
{
public:
  HttpResponder(boost::beast::tcp_stream& aStream, bool aKeepAlive)
    : stream(aStream)
    , keepAlive(aKeepAlive)
  {
  }
  ~HttpResponder();
  HttpResponder(const HttpResponder&) = delete;
  HttpResponder& operator=(const HttpResponder&) = delete;

  /** Sends a whole answer. Precondition: nothing was sent before. */
  Task<bool> Send(HttpResponse aReply);

  /** Sends the head of an answer whose body follows in pieces; aHead's body is
   * ignored. Precondition: nothing was sent before. */
  Task<bool> Begin(HttpResponse aHead);
  /** Precondition: Begin was called and End was not. */
  Task<bool> Write(std::string aPiece);
  /** Ends the body. An answer that is not ended is seen as cut short.
   * \param aTrailers fields that were not known when the answer began, each
   *   line ended by CR LF. */
  Task<bool> End(std::string aTrailers = {});

  /** Calls aOnGone once if the receiver hangs up before the answer has ended,
   * so that work done for it can be stopped. Precondition: called once, before
   * anything is sent; aOnGone may be called until this object is gone. */
  void NotifyOnDisconnect(std::function<void()> aOnGone);
  /** The connection carries no request after this one. */
  void DisableKeepAlive() { this->keepAlive = false; }

  [[nodiscard]] bool Started() const { return this->started; }
  /** Whether the connection may carry another request. */
  [[nodiscard]] bool IsConnectionReusable() const
  {
    return this->keepAlive && this->ended && !this->writeFailed;
  }

private:
  /** What outlives the responder while the socket is still being watched. */
  struct DisconnectWatch
  {
    std::function<void()> onDisconnect;
  };

  Task<bool> WriteRaw(std::string aText);

  boost::beast::tcp_stream& stream;
  bool keepAlive;
  std::shared_ptr<DisconnectWatch> disconnectWatch;
  bool started = false;
  bool ended = false;
  bool writeFailed = false;
};

} // namespace toucanshed
