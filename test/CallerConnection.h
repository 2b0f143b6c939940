/** \file
 * An ordinary caller's connection that a test writes to in parts.
 */
#pragma once

#include "edge/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace toucanshed::test {

/** Thread safety: none; belongs to the test's thread. */
class CallerConnection
{
public:
  /** Connects. Throws if the server does not accept. */
  explicit CallerConnection(const Endpoint& aServer);

  void Send(const std::string& aText);
  /** Returns all that arrives until the connection ends or stands still for
   * long. */
  std::string Receive();
  /** Returns the next response, with a length or in chunks, and as much of it
   * as arrives. */
  std::string ReceiveOne();

private:
  /** Appends what arrives until a line's end, with it.
   * \return the line without its end */
  std::string ReceiveLine(std::string& aText);
  void ReceiveBytes(std::size_t aBytes, std::string& aText);

  boost::asio::ip::tcp::iostream stream;
};

} // namespace toucanshed::test
