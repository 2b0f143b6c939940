/** \file
 * A stand-in for an engine whose responses are bytes that a test gives, for
 * framings that an HTTP server does not produce.
 */
#pragma once

#include "edge/Endpoint.h"
#include "edge/Task.h"
#include "edge/Worker.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <string>
#include <vector>

namespace toucanshed::standin {

/** How the connection ends after the response. */
enum class ConnectionEnd
{
  eClose,
  eReset,
};

/** Each connection serves the requests that have one of the earlier responses,
 * and one more: the response, then `repeated` for as long as the peer reads it,
 * then the end of the connection. In responses, ATTEMPT is replaced by the
 * request's attempt ID.
 *
 * Thread safety: none; belongs to the worker. */
class RawEngine
{
public:
  /** Precondition: the port is free. */
  RawEngine(Worker& aWorker, const Endpoint& aEndpoint);
  RawEngine(const RawEngine&) = delete;
  RawEngine& operator=(const RawEngine&) = delete;

  /** Stops listening, as a crash does. */
  void Stop();

  /** Responses to the first requests of each connection, which stays open. */
  std::vector<std::string> earlierResponses;
  std::string response;
  std::string repeated; // empty: nothing follows the response
  std::chrono::milliseconds repeatInterval{ 0 };
  std::size_t repeatedBytes = 0; // that all peers have taken
  std::size_t closedByPeer = 0;  // connections that a peer closed meanwhile
  ConnectionEnd end = ConnectionEnd::eClose;
  /** From the response to a reset, which discards what the peer has not read.
   */
  std::chrono::milliseconds resetDelay{ 50 };
  bool readsBody = true; // otherwise it responds after the request's head
  bool stopsAfterResponse = false;
  bool fillsQueueAfterResponse = false; // it accepts no connection any more
  std::size_t requests = 0;
  std::vector<std::string> attempts; // of the requests
  std::vector<std::string> bodies;   // of the requests; needs readsBody

private:
  Task<void> Accept();
  /** Opens so many connections that further ones hang. */
  void FillQueue();
  Task<void> Serve(boost::asio::ip::tcp::socket aSocket);
  /** Reads a request and writes the response to it.
   * \return whether both succeeded */
  Task<bool> Respond(boost::asio::ip::tcp::socket& aSocket,
                     boost::beast::flat_buffer& aBuffer,
                     const std::string& aResponse,
                     bool aIsLast);
  /** Repeats until the peer closes the connection, at most kMaxRepeatedBytes.
   */
  Task<void> Repeat(boost::asio::ip::tcp::socket& aSocket);

  Worker& worker;
  boost::asio::ip::tcp::acceptor acceptor;
  bool accepts = true;
  std::vector<boost::asio::ip::tcp::socket> fillers;
};

} // namespace toucanshed::standin
